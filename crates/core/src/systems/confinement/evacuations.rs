//! Keeps the evacuated failure domains and marks their upstreams in the list.
//!
//! The evacuations are read together with the list of upstreams, so that a list is never passed on
//! with marks that are more than [`READ_INTERVAL_US`] older. They carry the revision of the store,
//! by which VMs tell which of two readings is newer.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::super::Tick;
use crate::ids::DomainName;
use crate::input::{Evacuations, ListedUpstream, UpstreamList};
use crate::output::{ConfinementDecision, SourceRequest};

/// Least time between two reads of the evacuations, each of which is priced.
const READ_INTERVAL_US: u64 = 1_000_000;

/// Returns whether the next read of the list has to bring the evacuations.
///
/// A VM that takes over reading has not read them lately, so its first list has their marks.
pub(crate) fn must_read_evacuations(tick: &Tick<'_>) -> bool {
    let requested_us = tick.tables.source.evacuations_requested_us;
    let is_due = requested_us.is_none_or(|sent_us| tick.now_us >= sent_us + READ_INTERVAL_US);
    is_due && tick.settings.evacuate_ms.is_some()
}

/// Records when the evacuations were last asked for; a failed read is not repeated earlier.
pub(crate) fn record_request(tick: &mut Tick<'_>, request: &SourceRequest) {
    let now_us = tick.now_us;
    if let SourceRequest::Upstreams {
        with_evacuations: true,
    } = request
    {
        tick.tables.source.evacuations_requested_us = Some(now_us);
        tick.tables.source.evacuations_pending = true;
    }
}

/// Records the evacuations that came with a list; `None` if they could not be read or were not
/// asked for.
pub(crate) fn record_answer(tick: &mut Tick<'_>, evacuations: Option<Evacuations>) {
    let source = &mut tick.tables.source;
    let was_asked = std::mem::take(&mut source.evacuations_pending);
    let has_failed = was_asked && evacuations.is_none();
    let had_failed = source.evacuations_failed;
    source.evacuations_failed = has_failed || (had_failed && evacuations.is_none());
    if source.evacuations_failed != had_failed {
        tick.log(match has_failed {
            true => ConfinementDecision::EvacuationsUnavailable,
            false => ConfinementDecision::EvacuationsAvailable,
        });
    }
    if let Some(evacuations) = evacuations {
        record_evacuations(tick, evacuations);
    }
}

/// Returns whether another VM may know of evacuations that this one has failed to read.
pub(crate) fn may_lack_evacuations(tick: &Tick<'_>, peer_digest: u64) -> bool {
    let source = &tick.tables.source;
    source.evacuations_failed && peer_digest != source.stamp.digest
}

/// Records evacuations that this VM or another one has read; returns whether they are newer.
pub(crate) fn record_evacuations(tick: &mut Tick<'_>, evacuations: Evacuations) -> bool {
    let known = &mut tick.tables.source.evacuations;
    let is_newer = evacuations.revision > known.revision;
    if tick.settings.evacuate_ms.is_none() || !is_newer {
        return false;
    }
    *known = evacuations;
    true
}

/// Marks the upstreams of a list that are evacuated.
///
/// The marks of a list that another VM has passed on are replaced: an earlier build drops them.
pub(crate) fn mark_evacuated(tick: &Tick<'_>, list: &mut Arc<UpstreamList>) {
    let domains = &tick.tables.source.evacuations.domains;
    let is_marked_right =
        |row: &ListedUpstream| row.config.is_evacuated == is_evacuated(domains, row);
    if list.upstreams.iter().all(is_marked_right) {
        return;
    }
    for row in &mut Arc::make_mut(list).upstreams {
        row.config.is_evacuated = is_evacuated(domains, row);
    }
}

/// Returns whether an upstream is in an evacuated failure domain.
fn is_evacuated(domains: &BTreeSet<DomainName>, row: &ListedUpstream) -> bool {
    let domain = row.config.failure_domain.as_ref();
    domain.is_some_and(|domain| domains.contains(domain))
}

/// Logs the evacuations that have begun or ended.
pub(crate) fn log_evacuations(tick: &mut Tick<'_>, list: &UpstreamList) {
    let source = &mut tick.tables.source;
    if source.logged_evacuations == source.evacuations.domains {
        return;
    }
    let domains = source.evacuations.domains.clone();
    let logged = std::mem::replace(&mut source.logged_evacuations, domains.clone());
    for domain in domains.difference(&logged) {
        tick.log(ConfinementDecision::EvacuationSeen {
            domain: domain.clone(),
            upstreams: count_upstreams(list, domain),
        });
    }
    for domain in logged.difference(&domains) {
        tick.log(ConfinementDecision::EvacuationEnded {
            domain: domain.clone(),
            upstreams: count_upstreams(list, domain),
        });
    }
}

/// Returns the number of listed upstreams in a failure domain.
fn count_upstreams(list: &UpstreamList, domain: &DomainName) -> usize {
    let rows = list.upstreams.iter();
    rows.filter(|row| row.config.failure_domain.as_ref() == Some(domain))
        .count()
}
