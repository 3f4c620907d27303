//! Rounds of heartbeats.

use super::super::Tick;
use super::{joining, leases, platform, suspicion, views};
use crate::ids::VmName;
use crate::message::{Heartbeat, MembershipMessage};
use crate::tables::{Timer, hash_name};

/// Rounds whose answers still count; later answers could not extend a lease.
const KEPT_ROUNDS: usize = 16;

/// Starts the next round.
pub(super) fn run(tick: &mut Tick<'_>) {
    begin_round(tick);
    if tick.tables.view.epoch.0 == 0 {
        ask_settings_peers(tick);
        return;
    }
    send_heartbeats(tick);
    if tick.tables.membership.departure.is_draining {
        tell_leaving(tick);
    }
    leases::extend_by_promises(tick);
    joining::ask(tick);
    suspicion::check(tick);
    platform::check_writers(tick);
    views::forget_old(tick);
}

/// Numbers the round and plans the next one.
fn begin_round(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let settings = tick.settings;
    let membership = &mut tick.tables.membership;
    if membership.round == 0 {
        // Rounds of two starts of a process differ, so that an answer to the
        // former one is not taken for an answer to this one.
        membership.round = hash_name(settings.vm.as_str(), settings.incarnation.0) >> 16;
    }
    membership.round += 1;
    membership.rounds.push_back((membership.round, now_us));
    if membership.rounds.len() > KEPT_ROUNDS {
        membership.rounds.pop_front();
    }
    let due_us = now_us + settings.heartbeat_ms * 1_000;
    tick.tables.timers.set(due_us, Timer::Heartbeat);
}

/// Asks the VMs in the settings for the view, in case the store does not answer.
fn ask_settings_peers(tick: &mut Tick<'_>) {
    for peer in &tick.settings.peers {
        if *peer != tick.settings.vm {
            let known = tick.tables.view.epoch;
            tick.send(peer, MembershipMessage::ViewRequest { known });
        }
    }
}

/// Sends heartbeats to the VMs that watch this one and to its parents.
fn send_heartbeats(tick: &mut Tick<'_>) {
    let peers = tick.tables.membership.peers.clone();
    let asks_parents = !peers.is_tree || is_parents_turn(tick);
    let asks_all = is_lease_old(tick);
    if asks_parents || asks_all {
        for vm in &peers.parents {
            send(tick, vm, true);
        }
    }
    for vm in &peers.watchers {
        let is_sent = (asks_parents || asks_all) && peers.parents.contains(vm);
        if !is_sent {
            send(tick, vm, asks_all);
        }
    }
}

/// Returns whether parents are asked in this round: in a large fleet once for each touch.
fn is_parents_turn(tick: &Tick<'_>) -> bool {
    let rounds = (tick.settings.touch_ms / tick.settings.heartbeat_ms).max(1);
    tick.tables.membership.round.is_multiple_of(rounds)
}

/// Returns whether the lease is so old that any member is asked for a confirmation.
fn is_lease_old(tick: &Tick<'_>) -> bool {
    let limit_us = tick.settings.lease_ms * 1_000 * 2 / 3;
    tick.tables
        .lease
        .age_us(tick.now_us)
        .is_none_or(|age_us| age_us > limit_us)
}

/// Tells the writers that this VM is leaving.
pub(super) fn tell_leaving(tick: &mut Tick<'_>) {
    let (settings, view) = (tick.settings, &tick.tables.view);
    if view.member_at(&settings.vm, settings.incarnation).is_none() {
        return;
    }
    let writers = view.writers.clone();
    for writer in writers.iter().filter(|vm| **vm != settings.vm) {
        send(tick, writer, false);
    }
}

/// Sends one heartbeat.
fn send(tick: &mut Tick<'_>, to: &VmName, asks: bool) {
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
