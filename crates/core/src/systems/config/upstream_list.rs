//! Applies the list in which upstreams register themselves.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use super::super::{Tick, confinement, pacing};
use crate::config::{ServiceConfig, UpstreamConfig};
use crate::ids::UpstreamName;
use crate::input::{ListedUpstream, UpstreamList};
use crate::message::ListVersion;
use crate::output::Decision;

/// Applies a list that this VM has read from the store.
///
/// Entries may expire during a store outage although their upstreams are running. They are kept
/// until the upstreams have had time to register again.
pub(crate) fn adopt_store_list(tick: &mut Tick<'_>, list: &UpstreamList) {
    if list.revision < tick.tables.source.stamp.revision {
        mark_list_again(tick);
        return;
    }
    let mut effective = list.clone();
    if may_have_expired(tick) {
        let listed: HashSet<&UpstreamName> =
            list.upstreams.iter().map(|row| &row.config.name).collect();
        let in_force = tick.tables.source.upstreams.upstreams.iter();
        let missing = in_force.filter(|row| !listed.contains(&row.config.name));
        effective.upstreams.extend(missing.cloned());
        effective
            .upstreams
            .sort_by(|a, b| a.config.name.cmp(&b.config.name));
    }
    apply_list(tick, Arc::new(effective));
}

/// Returns whether entries may be missing because of a recent store outage.
fn may_have_expired(tick: &Tick<'_>) -> bool {
    let grace_us = tick.settings.list_grace_ms * 1_000;
    let resumed_us = tick.tables.source.list_resumed_us;
    resumed_us.is_some_and(|resumed_us| tick.now_us < resumed_us + grace_us)
}

/// Applies a list received from another VM; `read_us` is when it was read from the store.
pub(crate) fn adopt_peer_list(tick: &mut Tick<'_>, list: Arc<UpstreamList>, read_us: Option<u64>) {
    if list.revision < tick.tables.source.stamp.revision || list.revision == 0 {
        return;
    }
    apply_list(tick, list);
    if let Some(read_us) = read_us {
        tick.tables.source.list.record_read(read_us);
    }
}

/// Marks the list in force by the evacuations that this VM knows of now.
pub(crate) fn mark_list_again(tick: &mut Tick<'_>) {
    let source = &tick.tables.source;
    if source.stamp.revision == 0 {
        return;
    }
    let list = UpstreamList {
        revision: source.stamp.revision,
        upstreams: source.upstreams.upstreams.clone(),
    };
    apply_list(tick, Arc::new(list));
}

/// Puts a list in force and announces it to the other VMs if its upstreams changed.
fn apply_list(tick: &mut Tick<'_>, mut list: Arc<UpstreamList>) {
    confinement::mark_evacuated(tick, &mut list);
    confinement::log_evacuations(tick, &list);
    let digest = digest(&list.upstreams);
    let previous = tick.tables.source.stamp;
    let stamp = ListVersion {
        revision: list.revision,
        digest,
    };
    tick.tables.source.stamp = stamp;
    if previous.digest == digest && has_same_domains(&list, &tick.tables.source.upstreams) {
        return;
    }
    let before = std::mem::replace(&mut tick.tables.source.upstreams, list);
    let fleet = tick.tables.fleet.clone();
    let services = with_listed_upstreams(tick, &fleet.services);
    super::replace_services(tick, &services);
    // A VM that had no list before cannot tell which upstreams have started lately.
    if previous.digest != 0 {
        record_returns(tick, &before);
    }
    pacing::apply_list(tick);
    let upstreams = &tick.tables.source.upstreams.upstreams;
    let leaving = upstreams.iter().filter(|row| row.config.leaving).count();
    let upstreams = upstreams.len();
    tick.log(Decision::ListInForce {
        revision: stamp.revision,
        upstreams,
        leaving,
    });
    tick.work.peers.announce = true;
}

/// Records the upstreams that the list before did not have, whose process has restarted since, or
/// whose failure domain is not evacuated any more.
fn record_returns(tick: &mut Tick<'_>, before: &UpstreamList) {
    let list = Arc::clone(&tick.tables.source.upstreams);
    let rows = before.upstreams.iter();
    let before: HashMap<&UpstreamName, &UpstreamConfig> =
        rows.map(|row| (&row.config.name, &row.config)).collect();
    for row in &list.upstreams {
        let config = &row.config;
        let has_returned = before.get(&config.name).is_none_or(|known| {
            let is_restarted = known.started_unix_ms != config.started_unix_ms;
            is_restarted || (known.is_evacuated && !config.is_evacuated)
        });
        if has_returned {
            pacing::record_return(tick, &config.name);
        }
    }
}

/// Returns the services with their upstreams taken from the list in force.
pub(super) fn with_listed_upstreams(
    tick: &Tick<'_>,
    services: &[ServiceConfig],
) -> Vec<ServiceConfig> {
    let listed = &tick.tables.source.upstreams.upstreams;
    let with_upstreams = |service: &ServiceConfig| {
        let mut service = service.clone();
        let rows = listed.iter().filter(|row| row.service == service.name);
        service.upstreams = rows.map(|row| row.config.clone()).collect();
        service
    };
    services.iter().map(with_upstreams).collect()
}

/// Returns whether two lists with the same digest state the same failure domains.
///
/// The digest leaves them out, as that of earlier builds does, since a process stays where it is. An
/// entry that is written again with another one counts on the VM that reads it.
fn has_same_domains(list: &UpstreamList, in_force: &UpstreamList) -> bool {
    let rows = list.upstreams.iter();
    let domains = rows.map(|row| &row.config.failure_domain);
    let rows = in_force.upstreams.iter();
    domains.eq(rows.map(|row| &row.config.failure_domain))
}

/// Returns a digest of the fields that affect the placement of calls.
fn digest(upstreams: &[ListedUpstream]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for row in upstreams {
        let config = &row.config;
        (
            row.service.as_str(),
            config.name.as_str(),
            &config.address,
            config.leaving,
            config.started_unix_ms,
            config.max_running_calls,
            &config.software_version,
        )
            .hash(&mut hasher);
        // Earlier builds know no evacuations, and have the same digest while there are none.
        if config.is_evacuated {
            "evacuated".hash(&mut hasher);
        }
        for model in &config.models {
            model.as_str().hash(&mut hasher);
        }
        // Left out otherwise, so that builds that do not know it compute the same digest.
        if config.cold_left_ms > 0 {
            "cold".hash(&mut hasher);
        }
    }
    hasher.finish()
}
