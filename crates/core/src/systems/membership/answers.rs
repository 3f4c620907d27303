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
    let before = row.heartbeat_request;
    // A delayed or duplicate heartbeat must not replace a newer request.
    if before.is_some_and(|asked| asked.round >= heartbeat.round) {
        return;
    }
    row.heartbeat_request = Some(HeartbeatRequest {
        round: heartbeat.round,
        arrived_us: now_us,
        answered_us: before.map_or(0, |asked| asked.answered_us),
        sent_confirmation_us: before.map_or(0, |asked| asked.sent_confirmation_us),
        sent_revision: heartbeat.revision,
        sent_promise: before.is_some_and(|asked| asked.sent_promise),
    });
}

/// Returns whether a request is answered immediately.
///
/// In a large fleet, a VM that was answered within the touch interval waits for
/// the next confirmation, unless its view or revision is out of date.
fn needs_answer(tick: &Tick<'_>, sender: &Sender, heartbeat: &Heartbeat) -> bool {
    let tables = &*tick.tables;
    let has_news =
        heartbeat.epoch < tables.view.epoch || heartbeat.revision < tables.fleet.revision;
    if !tables.membership.peers.is_tree || has_news {
        return true;
    }
    let asked = tables
        .vms
        .get(&sender.vm)
        .and_then(|row| row.heartbeat_request);
    asked.is_none_or(|asked| {
        let quiet_us = tick.now_us.saturating_sub(asked.answered_us);
        quiet_us > tick.settings.touch_ms * 1_000
    })
}

/// Answers the latest request of a VM.
fn send_answer(tick: &mut Tick<'_>, vm: &VmName) {
    let now_us = tick.now_us;
    let promises = leases::make_promise(tick);
    let tables = &mut *tick.tables;
    let confirmed_us = tables.lease.confirmed_us;
    let Some(asked) = tables
        .vms
        .get_mut(vm)
        .and_then(|row| row.heartbeat_request.as_mut())
    else {
        return;
    };
    asked.answered_us = now_us;
    asked.sent_confirmation_us = confirmed_us.unwrap_or(0);
    asked.sent_revision = tables.fleet.revision;
    asked.sent_promise = promises;
    let age_us = |moment_us: u64| asked.arrived_us as i64 - moment_us as i64;
    let answer = HeartbeatAnswer {
        round: asked.round,
        epoch: tables.view.epoch,
        revision: tables.fleet.revision,
        confirmed_age_us: confirmed_us.map(age_us),
        promise_age_us: promises.then(|| age_us(now_us)),
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
    let Some(&(_, asked_us)) = rounds.iter().find(|(round, _)| *round == answer.round) else {
        return;
    };
    if let Some(age_us) = answer.confirmed_age_us {
        leases::confirm(tick, local_time_us(asked_us, age_us, now_us));
    }
    if let Some(age_us) = answer.promise_age_us {
        leases::record_promise(tick, sender, local_time_us(asked_us, age_us, now_us));
    }
}

/// Converts an age reported by another VM to a time on this VM's clock.
///
/// The result is never later than the actual time. The age counts back from
/// the arrival of the heartbeat, which was not before `asked_us`, when it was
/// sent. A negative age, a time after the arrival, is shortened by 10% because
/// the other clock may run faster by that much.
fn local_time_us(asked_us: u64, age_us: i64, now_us: u64) -> u64 {
    let moment_us = if age_us >= 0 {
        asked_us.saturating_sub(age_us.unsigned_abs())
    } else {
        asked_us + age_us.unsigned_abs() * 9 / 10
    };
    moment_us.min(now_us)
}

/// Pushes a new confirmation, promise or revision to VMs that asked recently.
///
/// A small fleet pushes only the first promise, since its members ask often.
pub(super) fn push_updates(tick: &mut Tick<'_>) {
    let is_tree = tick.tables.membership.peers.is_tree;
    let now_us = tick.now_us;
    let promises = leases::should_promise(tick);
    let tables = &*tick.tables;
    let confirmed_us = tables.lease.confirmed_us.unwrap_or(0);
    let step_us = tick.settings.touch_ms * 1_000 * 3 / 4;
    let kept_us = tick.settings.suspect_ms * 1_000;
    let wants_news = |row: &Vm| {
        let Some(asked) = row.heartbeat_request else {
            return false;
        };
        let is_recent = now_us.saturating_sub(asked.arrived_us) < kept_us;
        let is_confirmed = confirmed_us >= asked.sent_confirmation_us + step_us;
        let is_first = promises && !asked.sent_promise;
        let is_promised = promises && now_us >= asked.answered_us + step_us;
        let is_behind = asked.sent_revision < tables.fleet.revision;
        is_recent && (is_first || is_tree && (is_confirmed || is_promised || is_behind))
    };
    let waiting: Vec<VmName> = tables
        .vms
        .iter()
        .filter(|(_, row)| wants_news(row))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in waiting {
        send_answer(tick, &vm);
    }
}
