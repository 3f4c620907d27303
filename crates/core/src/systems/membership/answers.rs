//! Handles heartbeats and their answers, and pushes updates to VMs that asked.
//!
//! A heartbeat may ask for a confirmation of the sender's lease.

use super::super::{Sender, Tick};
use super::{leases, leaving, views};
use crate::ids::VmName;
use crate::message::{Heartbeat, HeartbeatAnswer, MembershipMessage};
use crate::tables::{HeartbeatRequest, Vm};

/// Handles a heartbeat.
pub(super) fn handle_heartbeat(tick: &mut Tick<'_>, sender: &Sender, heartbeat: &Heartbeat) {
    record_sender_state(tick, sender, heartbeat);
    views::request_newer(tick, &sender.vm, heartbeat.epoch);
    tick.work
        .config
        .reported_revisions
        .push((sender.vm.clone(), heartbeat.revision));
    if heartbeat.leaving {
        leaving::record_leaving(tick, sender);
    }
    if heartbeat.asks {
        record_request(tick, sender, heartbeat);
        if needs_answer(tick, sender, heartbeat) {
            send_answer(tick, &sender.vm);
        }
    }
}

/// Records the sender's state from its heartbeat.
fn record_sender_state(tick: &mut Tick<'_>, sender: &Sender, heartbeat: &Heartbeat) {
    let now_us = tick.now_us;
    let row = tick
        .tables
        .vms
        .get_or_insert_with(&sender.vm, || Vm::new(sender.incarnation, now_us));
    row.last_heard_us = now_us;
    row.epoch = row.epoch.max(heartbeat.epoch);
    row.revision = row.revision.max(heartbeat.revision);
    row.leaving |= heartbeat.leaving;
}

/// Records a request, so that later updates can be sent as further answers to it.
fn record_request(tick: &mut Tick<'_>, sender: &Sender, heartbeat: &Heartbeat) {
    let now_us = tick.now_us;
    let Some(row) = tick.tables.vms.get_mut(&sender.vm) else {
        return;
    };
    let previous = row.heartbeat_request;
    // A delayed or duplicate heartbeat must not replace a newer request.
    if previous.is_some_and(|request| request.round >= heartbeat.round) {
        return;
    }
    row.heartbeat_request = Some(HeartbeatRequest {
        round: heartbeat.round,
        arrived_us: now_us,
        answered_us: previous.map_or(0, |request| request.answered_us),
        sent_confirmation_us: previous.map_or(0, |request| request.sent_confirmation_us),
        sent_revision: heartbeat.revision,
        sent_promise: previous.is_some_and(|request| request.sent_promise),
    });
}

/// Returns whether a request is answered immediately.
///
/// In a large fleet, a VM that was answered within the touch interval waits for
/// the next confirmation, unless its view or revision is out of date.
fn needs_answer(tick: &Tick<'_>, sender: &Sender, heartbeat: &Heartbeat) -> bool {
    let tables = &*tick.tables;
    let is_outdated =
        heartbeat.epoch < tables.view.epoch || heartbeat.revision < tables.fleet.revision;
    if !tables.membership.peers.is_tree || is_outdated {
        return true;
    }
    let request = tables
        .vms
        .get(&sender.vm)
        .and_then(|row| row.heartbeat_request);
    request.is_none_or(|request| {
        let quiet_us = tick.now_us.saturating_sub(request.answered_us);
        quiet_us > tick.settings.touch_ms * 1_000
    })
}

/// Answers the latest request of a VM.
fn send_answer(tick: &mut Tick<'_>, vm: &VmName) {
    let now_us = tick.now_us;
    let has_promise = leases::make_promise(tick);
    let tables = &mut *tick.tables;
    let confirmed_us = tables.lease.confirmed_us;
    let Some(request) = tables
        .vms
        .get_mut(vm)
        .and_then(|row| row.heartbeat_request.as_mut())
    else {
        return;
    };
    request.answered_us = now_us;
    request.sent_confirmation_us = confirmed_us.unwrap_or(0);
    request.sent_revision = tables.fleet.revision;
    request.sent_promise = has_promise;
    let age_us = |time_us: u64| request.arrived_us as i64 - time_us as i64;
    let answer = HeartbeatAnswer {
        round: request.round,
        epoch: tables.view.epoch,
        revision: tables.fleet.revision,
        confirmed_age_us: confirmed_us.map(age_us),
        promise_age_us: has_promise.then(|| age_us(now_us)),
    };
    tick.send(vm, MembershipMessage::HeartbeatAnswer(answer));
}

/// Handles an answer to a heartbeat.
pub(super) fn handle_answer(tick: &mut Tick<'_>, sender: &Sender, answer: &HeartbeatAnswer) {
    let now_us = tick.now_us;
    if let Some(row) = tick.tables.vms.get_mut(&sender.vm) {
        row.last_heard_us = now_us;
        row.epoch = row.epoch.max(answer.epoch);
        row.revision = row.revision.max(answer.revision);
    }
    views::request_newer(tick, &sender.vm, answer.epoch);
    tick.work
        .config
        .reported_revisions
        .push((sender.vm.clone(), answer.revision));
    if answer.epoch > tick.tables.view.epoch {
        // A confirmation of a newer view does not confirm the one in force here.
        return;
    }
    let rounds = &tick.tables.membership.sent_rounds;
    let Some(&(_, sent_us)) = rounds.iter().find(|(round, _)| *round == answer.round) else {
        return;
    };
    if let Some(age_us) = answer.confirmed_age_us {
        leases::confirm(tick, local_time_us(sent_us, age_us, now_us));
    }
    if let Some(age_us) = answer.promise_age_us {
        leases::record_promise(tick, sender, local_time_us(sent_us, age_us, now_us));
    }
}

/// Converts an age reported by another VM to a time on this VM's clock.
///
/// The result is never later than the actual time. The age counts back from
/// the arrival of the heartbeat, which was not before `sent_us`, when it was
/// sent. A negative age, a time after the arrival, is shortened by 10% because
/// the other clock may run faster by that much.
fn local_time_us(sent_us: u64, age_us: i64, now_us: u64) -> u64 {
    let time_us = if age_us >= 0 {
        sent_us.saturating_sub(age_us.unsigned_abs())
    } else {
        sent_us + age_us.unsigned_abs() * 9 / 10
    };
    time_us.min(now_us)
}

/// Pushes a new confirmation, promise or revision to VMs that asked recently.
///
/// A small fleet pushes only the first promise, since its members ask often.
pub(super) fn push_updates(tick: &mut Tick<'_>) {
    let is_tree = tick.tables.membership.peers.is_tree;
    let now_us = tick.now_us;
    let has_promise = leases::should_promise(tick);
    let tables = &*tick.tables;
    let confirmed_us = tables.lease.confirmed_us.unwrap_or(0);
    let step_us = tick.settings.touch_ms * 1_000 * 3 / 4;
    let recent_us = tick.settings.suspect_ms * 1_000;
    let needs_update = |row: &Vm| {
        let Some(request) = row.heartbeat_request else {
            return false;
        };
        let is_recent = now_us.saturating_sub(request.arrived_us) < recent_us;
        let is_confirmed = confirmed_us >= request.sent_confirmation_us + step_us;
        let is_first_promise = has_promise && !request.sent_promise;
        let is_promised = has_promise && now_us >= request.answered_us + step_us;
        let is_behind = request.sent_revision < tables.fleet.revision;
        is_recent && (is_first_promise || is_tree && (is_confirmed || is_promised || is_behind))
    };
    let waiting: Vec<VmName> = tables
        .vms
        .iter()
        .filter(|(_, row)| needs_update(row))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in waiting {
        send_answer(tick, &vm);
    }
}
