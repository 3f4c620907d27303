//! Applies summaries and snapshots of other VMs.

use super::super::{Tick, budgets, config, confinement, outcomes, pacing, placement, rates};
use super::{group, request_snapshot};
use crate::ids::VmName;
use crate::input::{PeerEvent, RegisteredVm};
use crate::message::{Snapshot, Summary};
use crate::output::{Decision, LimitSource, PeerDecision};
use crate::tables::{NCALLS_PER_CALL, Peer, ProgramKnowledge, RateKey};

/// Dispatches input from another VM.
pub(super) fn handle_event(tick: &mut Tick<'_>, event: PeerEvent) {
    match event {
        PeerEvent::Summary(summary) => apply_summary(tick, *summary),
        PeerEvent::Unreadable { address } => record_unreadable(tick, &address),
        PeerEvent::Snapshot { sent_us, snapshot } => apply_snapshot(tick, sent_us, *snapshot),
        PeerEvent::SnapshotFailed => tick.tables.peering.snapshot_requested_us = None,
    }
}

/// Records that a VM is up whose datagram cannot be read.
///
/// The VM stays known, but shares no rate. An address of no known VM is ignored: the store names
/// all VMs, and anyone can send a datagram.
fn record_unreadable(tick: &mut Tick<'_>, address: &str) {
    let now_us = tick.now_us;
    let peers = &mut tick.tables.peering.peers;
    let row = peers.iter().find(|(_, peer)| *peer.address == *address);
    let Some(vm) = row.map(|(vm, _)| vm.clone()) else {
        return;
    };
    // While its summaries arrive, this is a single damaged or incomplete one.
    let Some(peer) = peers.get_mut(&vm).filter(|peer| !peer.is_reachable) else {
        return;
    };
    if peer.last_unreadable_us.replace(now_us).is_some() {
        return;
    }
    tick.log(PeerDecision::Unreadable { vm });
    group::update_counts(tick);
}

/// Adds the VMs that are registered in the store.
pub(crate) fn add_vms(tick: &mut Tick<'_>, vms: Vec<RegisteredVm>) {
    for row in vms {
        add_vm(tick, &row.vm, &row.address);
    }
    group::update_counts(tick);
}

/// Adds a VM that is not known yet.
fn add_vm(tick: &mut Tick<'_>, vm: &VmName, address: &str) {
    let now_us = tick.now_us;
    if *vm == tick.settings.vm {
        return;
    }
    tick.tables
        .peering
        .peers
        .get_or_insert_with(vm, || Peer::new(address, now_us));
}

/// Applies a summary, unless it is a duplicate or out of date.
fn apply_summary(tick: &mut Tick<'_>, summary: Summary) {
    if summary.from == tick.settings.vm || !update_sender(tick, &summary) {
        return;
    }
    let vm = summary.from.clone();
    record_read_times(tick, &summary);
    for limit in &summary.limits {
        rates::record_limit(tick, limit.clone(), LimitSource::Peer);
    }
    record_admitted(tick, &summary);
    group::replace_demand(tick, &vm, summary.demand);
    placement::apply_reports(tick, &vm, summary.reports);
    for pace in &summary.paces {
        pacing::merge_report(tick, &vm, pace);
    }
    group::replace_running(tick, &vm, summary.running);
    for program in &summary.programs {
        budgets::merge_use(tick, &vm, summary.incarnation, program);
    }
    for (digest, crashes) in &summary.suspects {
        outcomes::raise_crash_count(tick, *digest, *crashes);
    }
    for (digest, for_ms) in &summary.quarantined {
        if !tick.tables.quarantine.contains_key(digest) {
            outcomes::quarantine_content(tick, *digest, *for_ms);
        }
    }
    for (other, address) in &summary.others {
        add_vm(tick, other, address);
    }
    group::update_counts(tick);
    request_missing(tick, &vm, (summary.knows_programs, summary.knows_keepers));
}

/// Updates the row of the sender; returns whether the summary is new.
fn update_sender(tick: &mut Tick<'_>, summary: &Summary) -> bool {
    let now_us = tick.now_us;
    let own_incarnation = tick.settings.incarnation;
    let tables = &mut *tick.tables;
    let peer = tables
        .peering
        .peers
        .get_or_insert_with(&summary.from, || Peer::new(&summary.address, now_us));
    if peer.incarnation > Some(summary.incarnation) {
        return false;
    }
    let is_restarted = peer.incarnation != Some(summary.incarnation);
    if is_restarted {
        peer.incarnation = Some(summary.incarnation);
        peer.round = 0;
        peer.acked_round = 0;
        peer.admitted = Default::default();
        peer.reports = Default::default();
    } else if summary.round <= peer.round {
        return false;
    }
    if *peer.address != *summary.address {
        peer.address = summary.address.as_str().into();
    }
    peer.round = summary.round;
    peer.last_heard_us = Some(now_us);
    peer.last_unreadable_us = None;
    peer.is_leaving = summary.is_leaving;
    peer.revision = summary.revision;
    peer.list = summary.list;
    peer.uses_limited = summary.uses_limited;
    peer.omits_placed = summary.omits_placed;
    if let Some(contact) = &summary.contact {
        peer.failure_domain = Some(contact.failure_domain.clone());
        peer.tunnel_address = Some(contact.address.as_str().into());
    }
    let changes_links =
        peer.is_cut_off != summary.is_cut_off || peer.lost_links != summary.lost_links;
    if changes_links {
        peer.is_cut_off = summary.is_cut_off;
        peer.lost_links.clone_from(&summary.lost_links);
        tick.work.links.proxies_changed = true;
    }
    if let Some(echo) = summary
        .echo
        .filter(|echo| echo.incarnation == own_incarnation)
    {
        peer.acked_round = peer.acked_round.max(echo.round);
    }
    let was_heard = std::mem::replace(&mut peer.is_reachable, true);
    if !was_heard || is_restarted {
        tick.log(Decision::PeerReachable {
            vm: summary.from.clone(),
            incarnation: summary.incarnation,
        });
    }
    true
}

/// Records when the sender's data was read from the store.
///
/// The sender wrote the summary after it had received the echoed one. The time at which this VM
/// sent that one is therefore a lower bound for when the ages were measured, however long the
/// summary was in transit.
fn record_read_times(tick: &mut Tick<'_>, summary: &Summary) {
    let echo = summary
        .echo
        .filter(|echo| echo.incarnation == tick.settings.incarnation);
    let tables = &mut *tick.tables;
    let Some(measured_us) = echo.and_then(|echo| tables.peering.sent_us(echo.round)) else {
        return;
    };
    let read_us = |age_us: Option<u64>| age_us.and_then(|age_us| measured_us.checked_sub(age_us));
    if summary.revision <= tables.fleet.revision
        && let Some(read_us) = read_us(summary.config_age_us)
    {
        tables.source.config.record_read(read_us);
    }
    // The store's revision grows constantly, so lists are compared by digest.
    let stamp = &mut tables.source.stamp;
    if summary.list.digest == stamp.digest
        && let Some(read_us) = read_us(summary.list_age_us)
    {
        stamp.revision = stamp.revision.max(summary.list.revision);
        tables.source.list.record_read(read_us);
    }
}

/// Debits calls that the sender has admitted from this VM's copies of the buckets.
fn record_admitted(tick: &mut Tick<'_>, summary: &Summary) {
    let accounts = summary.admitted.iter();
    let accounts = accounts.map(|(account, total)| (RateKey::Account(account.clone()), *total));
    let upstreams = summary.placed.iter();
    let upstreams = upstreams.map(|(name, total)| (RateKey::Upstream(name.clone()), *total));
    for (rate, total) in accounts.chain(upstreams) {
        let peers = &mut tick.tables.peering.peers;
        let Some(peer) = peers.get_mut(&summary.from) else {
            return;
        };
        let known = peer.admitted.get_or_insert_with(&rate, || 0);
        let calls = total.saturating_sub(*known);
        *known = (*known).max(total);
        if peer.has_admitted_baseline {
            rates::debit_remote_calls(tick, &rate, calls * NCALLS_PER_CALL);
        }
    }
    if let Some(peer) = tick.tables.peering.peers.get_mut(&summary.from) {
        peer.has_admitted_baseline = true;
    }
}

/// Requests a snapshot if the sender has state that this VM lacks.
fn request_missing(
    tick: &mut Tick<'_>,
    vm: &VmName,
    (knows_programs, knows_keepers): (bool, bool),
) {
    let tables = &*tick.tables;
    let Some(peer) = tables.peering.peers.get(vm) else {
        return;
    };
    let is_pending = tables.source.knowledge == ProgramKnowledge::Pending;
    let lacks_programs = knows_programs && is_pending;
    let is_newer = peer.revision > tables.fleet.revision
        || (peer.list.revision > tables.source.stamp.revision
            && peer.list.digest != tables.source.stamp.digest)
        || confinement::may_lack_evacuations(tick, peer.list.digest);
    let lacks_keepers = knows_keepers && tables.source.keepers.is_empty();
    if is_newer || lacks_programs || lacks_keepers {
        let address = peer.address.clone();
        request_snapshot(tick, address, lacks_programs);
    }
}

/// Applies the parts of a snapshot that are newer than this VM's state.
fn apply_snapshot(tick: &mut Tick<'_>, sent_us: u64, snapshot: Snapshot) {
    tick.tables.peering.snapshot_requested_us = None;
    // The sender answered after `sent_us`, so its ages were measured at that time or later.
    let read_us = |age_us: Option<u64>| age_us.and_then(|age_us| sent_us.checked_sub(age_us));
    let is_older_build = snapshot.evacuations.is_none();
    if let Some(fleet) = snapshot.fleet {
        let revision = fleet.revision;
        config::adopt_peer_config(tick, fleet, is_older_build);
        if revision >= tick.tables.fleet.revision
            && let Some(read_us) = read_us(snapshot.config_age_us)
        {
            tick.tables.source.config.record_read(read_us);
        }
    }
    let source = &mut tick.tables.source;
    if source.keepers.is_empty() {
        // The store may be unreachable for as long as this VM runs, but charge records need a
        // destination.
        source.keepers = snapshot.keepers;
    }
    let list_us = read_us(snapshot.list_age_us);
    let evacuations = snapshot.evacuations.unwrap_or_default();
    let is_newer = confinement::record_evacuations(tick, evacuations);
    config::adopt_peer_list(tick, snapshot.list, list_us);
    if is_newer {
        config::mark_list_again(tick);
    }
    if let Some(losses) = snapshot.losses
        && tick.tables.source.knowledge == ProgramKnowledge::Pending
    {
        for program in &snapshot.programs {
            budgets::merge_snapshot(tick, program);
        }
        budgets::mark_programs_known(tick, losses, snapshot.programs.len());
    }
}
