//! Calls that wait at the home of a program for their turn.

use super::super::Tick;
use super::{home, turn_order};
use crate::ids::{CallId, ProgramKey, VmName};
use crate::message::{Begin, HomesMessage};
use crate::output::{Execution, RefusalKind};
use crate::tables::{Timer, WaitingCall};

/// Adds a call to the waiting calls of its program.
///
/// An attached call, a resend of the turn in progress, waits without a limit.
pub(super) fn add(tick: &mut Tick<'_>, vm: &VmName, begin: Box<Begin>, is_attached: bool) {
    let call = begin.call;
    let Some(program) = tick.tables.programs.get_mut(&begin.program) else {
        return;
    };
    let wait = WaitingCall {
        vm: vm.clone(),
        begin,
        is_attached,
        next: program.first_wait.replace(call),
    };
    tick.tables.homes.waiting_calls.insert(call, wait);
    if !is_attached {
        let due_us = tick.now_us + tick.settings.turn_wait_ms * 1_000;
        tick.tables.timers.set(due_us, Timer::TurnWait(call));
    }
    tick.send(vm, HomesMessage::Pending { call });
}

/// Records the `sent_us` of a resent `Begin`; returns whether its call is waiting.
pub(super) fn refresh(tick: &mut Tick<'_>, begin: &Begin) -> bool {
    let wait = tick.tables.homes.waiting_calls.get_mut(&begin.call);
    wait.map(|wait| wait.begin.sent_us = wait.begin.sent_us.max(begin.sent_us))
        .is_some()
}

/// Removes a call from the waiting calls of its program.
pub(super) fn remove(tick: &mut Tick<'_>, call: CallId) -> Option<WaitingCall> {
    let waits = &mut tick.tables.homes.waiting_calls;
    let wait = waits.remove(&call)?;
    let Some(program) = tick.tables.programs.get_mut(&wait.begin.program) else {
        return Some(wait);
    };
    if program.first_wait == Some(call) {
        program.first_wait = wait.next;
        return Some(wait);
    }
    let mut cursor = program.first_wait;
    while let Some(waiting) = cursor.and_then(|id| waits.get_mut(&id)) {
        if waiting.next == Some(call) {
            waiting.next = wait.next;
            break;
        }
        cursor = waiting.next;
    }
    Some(wait)
}

/// Removes and returns all waiting calls of a program, lowest turn first.
pub(super) fn take_all(tick: &mut Tick<'_>, key: &ProgramKey) -> Vec<WaitingCall> {
    let program = tick.tables.programs.get_mut(key);
    let mut next = program.and_then(|program| program.first_wait.take());
    let mut taken = Vec::new();
    while let Some(wait) = next.and_then(|call| tick.tables.homes.waiting_calls.remove(&call)) {
        next = wait.next;
        taken.push(wait);
    }
    taken.sort_by_key(|wait| (wait.begin.turn, wait.begin.call));
    taken
}

/// Decides again about all waiting calls of a program after its state has changed.
pub(super) fn reevaluate(tick: &mut Tick<'_>, key: &ProgramKey) {
    for wait in take_all(tick, key) {
        home::handle_begin(tick, &wait.vm, wait.begin);
    }
}

/// Denies a call whose time to wait for earlier turns is over.
pub(super) fn expire(tick: &mut Tick<'_>, call: CallId) {
    let wait = tick.tables.homes.waiting_calls.get(&call);
    if wait.is_none_or(|wait| wait.is_attached) {
        return;
    }
    let Some(wait) = remove(tick, call) else {
        return;
    };
    let key = &wait.begin.program;
    let program = tick.tables.programs.get(key);
    let ran = program.map_or(Execution::NotRun, |program| {
        turn_order::prior_execution(tick, program, &wait.begin)
    });
    let kind = RefusalKind::TurnOutOfOrder;
    home::deny(tick, &wait.vm, &wait.begin, kind, ran, None);
    super::lifecycle::remove_if_unused(tick, key);
}
