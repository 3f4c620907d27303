//! End of programs: at the request of the caller, on lease expiry or when the budget is used up.

use super::super::Tick;
use super::{budget, release, takeover, tree, turn_order, wait_queue};
use crate::ids::{CallId, ProgramKey, VmName};
use crate::message::{Begin, Denied, HomesMessage};
use crate::output::{CloseReason, Decision, Execution, RefusalKind};
use crate::tables::{Phase, Timer, Tombstone};

/// How long a handled request to end a program is remembered.
///
/// A delayed duplicate must not end a new program with the same name. The entry
/// VM stops resending long before this.
const ENDED_RETENTION_MS: u64 = 60_000;

/// Handles the request of a caller to end a program.
pub(super) fn handle_end(
    tick: &mut Tick<'_>,
    vm: &VmName,
    request: CallId,
    key: &ProgramKey,
    generation: Option<u64>,
) {
    if let Err(retry_after_ms) = takeover::check_home(tick, key) {
        let denied = Denied {
            call: request,
            kind: RefusalKind::HomeMoving,
            ran: Execution::NotRun,
            retry_after_ms: Some(retry_after_ms),
        };
        return tick.send(vm, HomesMessage::Denied(denied));
    }
    let program = tick.tables.programs.get(key);
    let is_target = program.is_some_and(|p| generation.is_none_or(|g| g == p.generation));
    if tick
        .tables
        .homes
        .ended_requests
        .insert(request, ())
        .is_none()
    {
        let due_us = tick.now_us + ENDED_RETENTION_MS * 1_000;
        tick.tables
            .timers
            .set(due_us, Timer::EndedRequestExpiry(request));
        if is_target {
            close(tick, key, CloseReason::Ended);
        }
    }
    tick.send(vm, HomesMessage::Ended { request });
}

/// Closes a program and its sub-agents and releases their engine memory.
///
/// Turns in progress are not interrupted; the rows of their programs stay until they end.
pub(super) fn close(tick: &mut Tick<'_>, key: &ProgramKey, reason: CloseReason) {
    for key in tree::subtree(tick, key) {
        let Some(program) = tick.tables.programs.get_mut(&key) else {
            continue;
        };
        program.phase = match reason {
            CloseReason::Exhausted => Phase::Exhausted,
            _ => Phase::Ended,
        };
        let generation = program.generation;
        tick.log(Decision::ProgramClosed {
            program: key.clone(),
            generation,
            reason,
        });
        match reason {
            // The row stays so that later calls are denied with the right reason.
            CloseReason::Exhausted => release::release_all(tick, &key),
            _ => remove_if_idle(tick, &key),
        }
        wait_queue::reevaluate(tick, &key);
    }
}

/// Removes the row of an ended program unless it has a turn in progress or sub-agents.
pub(super) fn remove_if_idle(tick: &mut Tick<'_>, key: &ProgramKey) {
    let is_needed = tick
        .tables
        .programs
        .get(key)
        .is_none_or(|p| p.current.is_some() || p.links.first.is_some());
    if is_needed {
        return;
    }
    wait_queue::reevaluate(tick, key);
    release::release_all(tick, key);
    add_tombstone(tick, key);
    tree::remove(tick, key);
    let root_key = key.root();
    let root = tick.tables.programs.get(&root_key);
    if root_key != *key && root.is_some_and(|root| root.phase == Phase::Ended) {
        remove_if_idle(tick, &root_key);
    }
}

/// Stores the last state of a program that is over for the length of a lease.
fn add_tombstone(tick: &mut Tick<'_>, key: &ProgramKey) {
    let until_us = tick.now_us + tick.settings.program_lease_ms * 1_000;
    let row = tick.tables.programs.get(key).cloned();
    if let Some((state, row)) = tree::build_continuation(tick, key).zip(row) {
        let tombstone = Tombstone {
            state,
            row,
            until_us,
        };
        tick.tables.homes.tombstones.insert(key.clone(), tombstone);
        let timer = Timer::TombstoneExpiry(key.clone());
        tick.tables.timers.set(until_us, timer);
    }
}

/// Returns whether a generation of a program is known to be over.
pub(super) fn has_tombstone(tick: &Tick<'_>, key: &ProgramKey, generation: u64) -> bool {
    let tombstone = tick.tables.homes.tombstones.get(key);
    tombstone.is_some_and(|tombstone| tombstone.state.generation == generation)
}

/// Returns whether a request may have run before, for a program without a row.
pub(super) fn prior_execution(tick: &Tick<'_>, begin: &Begin) -> Execution {
    let tombstone = tick.tables.homes.tombstones.get(&begin.program);
    match (tombstone, &begin.permit) {
        (Some(tombstone), _) => turn_order::prior_execution(tick, &tombstone.row, begin),
        (None, Some(_)) => Execution::MayHaveRun,
        (None, None) => Execution::NotRun,
    }
}

/// Removes the tombstone of a program once it has expired.
pub(super) fn expire_tombstone(tick: &mut Tick<'_>, key: &ProgramKey) {
    let tombstones = &mut tick.tables.homes.tombstones;
    if tombstones
        .get(key)
        .is_some_and(|tombstone| tombstone.until_us <= tick.now_us)
    {
        tombstones.remove(key);
    }
}

/// Closes a program if its lease has expired or its budget is used up, or schedules the next check.
pub(super) fn check_lease(tick: &mut Tick<'_>, key: &ProgramKey) {
    let Some(program) = tick.tables.programs.get(key) else {
        return;
    };
    let is_running = program.current.is_some() || program.links.first.is_some();
    let has_lapsed = program.lease_until_us <= tick.now_us && !is_running;
    if has_lapsed {
        return close(tick, key, CloseReason::LeaseExpired);
    }
    if program.phase == Phase::Open && key.name.is_root() {
        budget::close_if_exhausted(tick, key);
    }
    schedule_lease_check(tick, key);
}

/// Schedules the next check of the lease and the wall time of a program.
fn schedule_lease_check(tick: &mut Tick<'_>, key: &ProgramKey) {
    let Some(program) = tick.tables.programs.get(key) else {
        return;
    };
    let lease_us = tick.settings.program_lease_ms * 1_000;
    let due_us = if program.lease_until_us > tick.now_us {
        program.lease_until_us
    } else {
        tick.now_us + lease_us
    };
    let wall_us = budget::remaining_wall_us(tick, key);
    let due_us = match wall_us {
        0 => due_us,
        wall_us => due_us.min(tick.now_us + wall_us),
    };
    let timer = Timer::ProgramLease(key.clone());
    tick.tables.timers.set(due_us, timer);
}

/// Removes a row that was created for a call that was then denied.
pub(super) fn remove_if_unused(tick: &mut Tick<'_>, key: &ProgramKey) {
    let program = tick.tables.programs.get(key);
    if program.is_some_and(|program| program.links.previous.is_none() && program.is_unused()) {
        tree::remove(tick, key);
    }
}
