//! Keeps calls in the regions that their route and account allow.

use std::sync::Arc;

use super::super::{Tick, links};
use crate::ids::{AttemptId, DomainName, UpstreamName};
use crate::input::StorageVm;
use crate::tables::{AllowedRegions, Upstream};

/// Returns the regions in which the call of an attempt may run; `None` if it may run anywhere.
pub(crate) fn homes_of<'a>(tick: &'a Tick<'_>, attempt: AttemptId) -> Option<&'a AllowedRegions> {
    let call = tick.tables.calls.get(&attempt.call)?;
    call.relay.as_ref()?.homes.as_ref()
}

/// Returns whether an upstream may run a call, directly or through a proxy in an allowed region.
pub(crate) fn allows(tick: &Tick<'_>, attempt: AttemptId, upstream: &UpstreamName) -> bool {
    let Some(row) = tick.tables.upstreams.get(upstream) else {
        return false;
    };
    if row.config.is_evacuated {
        return false;
    }
    let homes = homes_of(tick, attempt);
    homes.is_none() || is_at_home(tick, homes, row) && links::can_reach_from(tick, upstream, homes)
}

/// Returns whether an upstream is in a region that is allowed.
pub(super) fn is_at_home(tick: &Tick<'_>, homes: Option<&AllowedRegions>, row: &Upstream) -> bool {
    allows_domain(tick, homes, row.config.failure_domain.as_ref())
}

/// Returns whether a VM of a failure domain may pass on a call with these homes.
pub(crate) fn allows_proxy(
    tick: &Tick<'_>,
    homes: Option<&AllowedRegions>,
    domain: Option<&DomainName>,
) -> bool {
    allows_domain(tick, homes, domain)
}

/// Returns whether a failure domain lies in an allowed region; one of unknown region does not.
fn allows_domain(
    tick: &Tick<'_>,
    homes: Option<&AllowedRegions>,
    domain: Option<&DomainName>,
) -> bool {
    homes.is_none_or(|homes| homes.contains(tick.settings.region_of(domain)))
}

/// Returns the addresses of the VMs with a disk that may keep the turn of an attempt: those in its
/// homes or in the region of this VM. Returns `None` if all of them may.
pub(crate) fn turn_storage(tick: &Tick<'_>, attempt: AttemptId) -> Option<Box<[Arc<str>]>> {
    let homes = homes_of(tick, attempt)?;
    let own = &tick.settings.failure_domain;
    let own_region = tick.settings.region_of(Some(own));
    let may_keep = |vm: &&StorageVm| {
        let region = tick.settings.region_of(Some(&vm.failure_domain));
        let is_near = vm.failure_domain == *own || (region.is_some() && region == own_region);
        is_near || homes.contains(region)
    };
    let vms = tick.tables.source.keepers.iter().filter(may_keep);
    Some(vms.map(|vm| Arc::from(vm.address.as_str())).collect())
}
