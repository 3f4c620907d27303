//! Sends heartbeats in numbered rounds.

use super::super::Tick;
use super::{joining, leases, platform, suspicion, views};
use crate::ids::VmName;
use crate::message::{Heartbeat, MembershipMessage};
use crate::tables::{Timer, hash_name};

/// Rounds whose answers are accepted; later answers could not extend a lease.
const MAX_ROUNDS: usize = 16;

/// Number of configured peers that are asked for the view in each round.
const QUERIED_PEERS: usize = 3;

/// Starts the next round.
pub(super) fn run(tick: &mut Tick<'_>) {
    begin_round(tick);
    if tick.tables.view.epoch.0 == 0 {
        query_configured_peers(tick);
        return;
    }
    send_heartbeats(tick);
    if tick.tables.membership.departure.is_draining {
        announce_leaving(tick);
    }
    leases::extend_by_promises(tick);
    joining::request_join(tick);
    suspicion::report_silent(tick);
    platform::update_writers_missing(tick);
    views::expire_records(tick);
}

/// Assigns the round its number and schedules the next one.
fn begin_round(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let settings = tick.settings;
    let membership = &mut tick.tables.membership;
    if membership.round == 0 {
        // Each incarnation numbers its rounds from a different start, so that an
        // answer to the previous incarnation does not match a round of this one.
        membership.round = hash_name(settings.vm.as_str(), settings.incarnation.0) >> 16;
    }
    membership.round += 1;
    membership.sent_rounds.push_back((membership.round, now_us));
    if membership.sent_rounds.len() > MAX_ROUNDS {
        membership.sent_rounds.pop_front();
    }
    let due_us = now_us + settings.heartbeat_ms * 1_000;
    tick.tables.timers.set(due_us, Timer::Heartbeat);
}

/// Asks some of the configured peers for the view, in case the store does not answer.
///
/// Rounds rotate through the peers: asking all at once would return the view,
/// which is large in a large fleet, once per peer.
fn query_configured_peers(tick: &mut Tick<'_>) {
    let peers = &tick.settings.peers;
    let first = tick.tables.membership.round as usize * QUERIED_PEERS;
    let known = tick.tables.view.epoch;
    for step in 0..QUERIED_PEERS.min(peers.len()) {
        let peer = &peers[(first + step) % peers.len()];
        if *peer != tick.settings.vm {
            tick.send(peer, MembershipMessage::ViewRequest { known });
        }
    }
}

/// Sends heartbeats to the VMs that watch this one and to its parents.
fn send_heartbeats(tick: &mut Tick<'_>) {
    let peers = tick.tables.membership.peers.clone();
    let asks_parents = !peers.is_tree || is_parent_round(tick);
    let asks_all = is_lease_near_expiry(tick);
    if asks_parents || asks_all {
        for vm in &peers.parents {
            send_heartbeat(tick, vm, true);
        }
    }
    for vm in &peers.watchers {
        let is_sent = (asks_parents || asks_all) && peers.parents.contains(vm);
        if !is_sent {
            send_heartbeat(tick, vm, asks_all);
        }
    }
}

/// Returns whether this round asks the parents for a confirmation.
///
/// Large fleets ask once per touch interval.
fn is_parent_round(tick: &Tick<'_>) -> bool {
    let rounds = (tick.settings.touch_ms / tick.settings.heartbeat_ms).max(1);
    tick.tables.membership.round.is_multiple_of(rounds)
}

/// Returns whether the lease is past two thirds of its time, so that all peers
/// are asked for a confirmation.
fn is_lease_near_expiry(tick: &Tick<'_>) -> bool {
    let limit_us = tick.settings.lease_ms * 1_000 * 2 / 3;
    tick.tables
        .lease
        .age_us(tick.now_us)
        .is_none_or(|age_us| age_us > limit_us)
}

/// Announces to the writers that this VM is leaving.
pub(super) fn announce_leaving(tick: &mut Tick<'_>) {
    let (settings, view) = (tick.settings, &tick.tables.view);
    if view
        .member_with_incarnation(&settings.vm, settings.incarnation)
        .is_none()
    {
        return;
    }
    let writers = view.writers.clone();
    for writer in writers.iter().filter(|vm| **vm != settings.vm) {
        send_heartbeat(tick, writer, false);
    }
}

/// Sends a heartbeat; `asks` requests a confirmation of the lease.
fn send_heartbeat(tick: &mut Tick<'_>, to: &VmName, asks: bool) {
    let tables = &*tick.tables;
    let heartbeat = Heartbeat {
        round: tables.membership.round,
        epoch: tables.view.epoch,
        revision: tables.fleet.revision,
        asks,
        leaving: tables.membership.departure.is_draining,
    };
    tick.send(to, MembershipMessage::Heartbeat(heartbeat));
}
