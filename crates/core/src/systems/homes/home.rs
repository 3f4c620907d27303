//! Handling of turns on the home: start, probe, end and loss of the entry VM.

use super::super::Tick;
use super::turn_order::{self, BeginDecision};
use super::{
    MOVING_RETRY_AFTER_MS, PROBE_INTERVAL_MS, budget, lifecycle, permits, recovery, release,
    takeover, tree, wait_queue,
};
use crate::ids::{CallId, HistoryDigest, ProgramKey, UpstreamName, VmName};
use crate::message::{Began, Begin, Denied, HomesMessage, RunningTurn, Settle};
use crate::output::{Decision, Execution, RefusalKind, TakeoverSource};
use crate::tables::{FinishedTurn, Phase, Program, Timer, Turn, UnknownTurn};

/// Handles a `Begin`: starts the turn, queues it or denies it.
pub(super) fn handle_begin(tick: &mut Tick<'_>, vm: &VmName, begin: Box<Begin>) {
    let key = &begin.program;
    let not_run = Execution::NotRun;
    if let Err(retry_after_ms) = takeover::check_home(tick, key) {
        let kind = RefusalKind::HomeMoving;
        return deny(tick, vm, &begin, kind, not_run, Some(retry_after_ms));
    }
    if !takeover::is_member(tick, vm, begin.call.incarnation) {
        // The loss of a VM that is not a member changes no view, so its turn would not be
        // marked as unknown.
        let (kind, retry_after_ms) = (RefusalKind::HomeMoving, Some(MOVING_RETRY_AFTER_MS));
        return deny(tick, vm, &begin, kind, not_run, retry_after_ms);
    }
    if wait_queue::refresh(tick, &begin) {
        return tick.send(vm, HomesMessage::Pending { call: begin.call });
    }
    if !tick.tables.accounts.contains_key(&key.account) {
        return deny(tick, vm, &begin, RefusalKind::KeyUnknown, not_run, None);
    }
    if let Err(kind) = recovery::ensure_row(tick, key, begin.continuation.as_ref()) {
        let ran = lifecycle::prior_execution(tick, &begin);
        return deny(tick, vm, &begin, kind, ran, None);
    }
    apply_decision(tick, vm, begin);
}

/// Applies the decision for a call that asks for its turn.
fn apply_decision(tick: &mut Tick<'_>, vm: &VmName, begin: Box<Begin>) {
    let Some(program) = tick.tables.programs.get(&begin.program) else {
        return;
    };
    match turn_order::decide(tick, program, &begin) {
        BeginDecision::Start => start(tick, vm, &begin),
        BeginDecision::AlreadyBegun => reply_began(tick, vm, &begin),
        BeginDecision::Wait => wait_queue::add(tick, vm, begin, false),
        BeginDecision::Attach => wait_queue::add(tick, vm, begin, true),
        BeginDecision::Replay {
            vm: response_vm,
            original,
        } => reply_kept(tick, vm, &begin, response_vm, original),
        BeginDecision::Deny(kind, ran) => deny(tick, vm, &begin, kind, ran, None),
    }
}

/// Tells the entry VM of a resent call which VM still has the response.
fn reply_kept(
    tick: &mut Tick<'_>,
    vm: &VmName,
    begin: &Begin,
    response_vm: VmName,
    original: CallId,
) {
    let key = &begin.program;
    let Some(state) = tree::build_continuation(tick, key) else {
        return;
    };
    let permit = permits::issue(tick, key, begin.turn + 1);
    let kept = HomesMessage::Kept {
        call: begin.call,
        vm: response_vm,
        original,
        continuation: Box::new(state),
        permit: permit.map(Box::new),
    };
    tick.send(vm, kept);
}

/// Denies a turn and logs why.
pub(super) fn deny(
    tick: &mut Tick<'_>,
    vm: &VmName,
    begin: &Begin,
    kind: RefusalKind,
    ran: Execution,
    retry_after_ms: Option<u64>,
) {
    tick.log(Decision::TurnDenied {
        program: begin.program.clone(),
        turn: begin.turn,
        call: begin.call,
        kind,
        ran,
    });
    let denied = Denied {
        call: begin.call,
        kind,
        ran,
        retry_after_ms,
    };
    tick.send(vm, HomesMessage::Denied(denied));
}

/// Starts a turn if its tokens can be reserved, and denies it otherwise.
fn start(tick: &mut Tick<'_>, vm: &VmName, begin: &Begin) {
    let key = &begin.program;
    if let Err(kind) = budget::reserve(tick, key, begin.reserve_tokens) {
        let program = tick.tables.programs.get(key);
        let ran = program.map_or(Execution::NotRun, |program| {
            turn_order::prior_execution(tick, program, begin)
        });
        deny(tick, vm, begin, kind, ran, None);
        budget::close_if_exhausted(tick, key);
        return;
    }
    let turn = Turn {
        call: begin.call,
        vm: vm.clone(),
        number: begin.turn,
        idempotent: begin.idempotent,
        reserved_tokens: begin.reserve_tokens,
        digest: begin.digest,
        pool: begin.pool.clone(),
    };
    if let Some(program) = tick.tables.programs.get_mut(key) {
        program.is_recovered = false;
        program.current = Some(turn);
    }
    tree::renew_lease(tick, key);
    schedule_probe(tick, key.clone(), begin.call);
    tick.log(Decision::TurnBegan {
        program: key.clone(),
        turn: begin.turn,
        call: begin.call,
        reserved_tokens: begin.reserve_tokens,
    });
    reply_began(tick, vm, begin);
}

/// Tells the entry VM that the turn has begun and until when it may be dispatched.
fn reply_began(tick: &mut Tick<'_>, vm: &VmName, begin: &Begin) {
    let Some(state) = tree::build_continuation(tick, &begin.program) else {
        return;
    };
    let lease_us = tick.tables.lease.remaining_us(tick.now_us);
    let began = Began {
        call: begin.call,
        sent_us: begin.sent_us,
        valid_us: lease_us.min(budget::remaining_wall_us(tick, &begin.program)),
        state,
    };
    tick.send(vm, HomesMessage::Began(Box::new(began)));
}

/// Schedules the next probe of a turn in progress.
fn schedule_probe(tick: &mut Tick<'_>, key: ProgramKey, call: CallId) {
    let due_us = tick.now_us + PROBE_INTERVAL_MS * 1_000;
    tick.tables.timers.set(due_us, Timer::TurnProbe(key, call));
}

/// Asks the entry VM whether it still runs the turn in progress, and schedules the next probe.
pub(super) fn probe(tick: &mut Tick<'_>, key: ProgramKey, call: CallId) {
    let program = tick.tables.programs.get(&key);
    let turn = program.and_then(|program| program.current.as_ref());
    let Some(vm) = turn
        .filter(|turn| turn.call == call)
        .map(|turn| turn.vm.clone())
    else {
        return;
    };
    let program = key.clone();
    tick.send(&vm, HomesMessage::Probe { call, program });
    schedule_probe(tick, key, call);
}

/// Ends the turn in progress if its entry VM reports that it does not know the call.
pub(super) fn handle_gone(tick: &mut Tick<'_>, call: CallId, key: &ProgramKey, ran: Execution) {
    if takeover::check_home(tick, key).is_ok() && is_current(tick, key, call) {
        end_turn(tick, key, ran, None, None, &[]);
    }
}

/// Handles the end of a turn as reported by its entry VM.
///
/// If this VM may not act as home, it sends no reply and the entry VM retries.
pub(super) fn handle_settle(tick: &mut Tick<'_>, vm: &VmName, settle: &Settle) {
    let key = &settle.state.program;
    if takeover::check_home(tick, key).is_err() {
        return;
    }
    if settle.ran != Execution::NotRun {
        adopt_settled(tick, vm, settle);
    }
    if is_current(tick, key, settle.call) {
        let used_tokens = Some(settle.used_tokens);
        end_turn(
            tick,
            key,
            settle.ran,
            used_tokens,
            settle.history,
            &settle.upstreams,
        );
    } else if is_outcome_unknown(tick, key, settle.call) {
        resolve_unknown(tick, vm, settle);
    } else {
        wait_queue::remove(tick, settle.call);
    }
    reply_settled(tick, vm, settle);
}

/// Returns whether a call runs the turn in progress.
fn is_current(tick: &Tick<'_>, key: &ProgramKey, call: CallId) -> bool {
    let program = tick.tables.programs.get(key);
    program.is_some_and(|p| p.current.as_ref().is_some_and(|turn| turn.call == call))
}

/// Returns whether no turn is in progress and a call ran the last one, with unknown outcome.
fn is_outcome_unknown(tick: &Tick<'_>, key: &ProgramKey, call: CallId) -> bool {
    let program = tick.tables.programs.get(key);
    program.is_some_and(|p| {
        p.current.is_none() && p.unknown.is_some_and(|unknown| unknown.call == call)
    })
}

/// Adopts a turn that began at a previous home and ended before its witness arrived.
fn adopt_settled(tick: &mut Tick<'_>, vm: &VmName, settle: &Settle) {
    let key = &settle.state.program;
    let source = TakeoverSource::Settle;
    if tick.tables.programs.contains_key(key) {
        recovery::advance(tick, key, &settle.state, source);
    } else if takeover::was_home_since(tick, key, settle.state.epoch) {
        return;
    } else {
        recovery::rebuild(tick, key, &settle.state, source);
    }
    adopt_turn(tick, key, vm, settle.state.generation, &settle.turn);
}

/// Adopts the turn in progress of a rebuilt program.
pub(super) fn adopt_turn(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    vm: &VmName,
    generation: u64,
    running: &RunningTurn,
) {
    let Some(program) = tick.tables.programs.get_mut(key) else {
        return;
    };
    let is_next = program.generation == generation && running.number == program.turn + 1;
    let is_known = program
        .unknown
        .is_some_and(|unknown| unknown.call == running.call);
    if !program.is_recovered || program.current.is_some() || !is_next || is_known {
        return;
    }
    program.current = Some(Turn {
        call: running.call,
        vm: vm.clone(),
        number: running.number,
        idempotent: running.idempotent,
        reserved_tokens: running.reserve_tokens,
        digest: running.digest,
        pool: running.pool.clone(),
    });
    budget::adopt(tick, key, running.reserve_tokens);
    schedule_probe(tick, key.clone(), running.call);
}

/// Ends the turn in progress; without `used_tokens` all reserved tokens count as spent.
pub(super) fn end_turn(
    tick: &mut Tick<'_>,
    key: &ProgramKey,
    ran: Execution,
    used_tokens: Option<u64>,
    history: Option<HistoryDigest>,
    upstreams: &[UpstreamName],
) {
    let now_us = tick.now_us;
    let program = tick.tables.programs.get_mut(key);
    let Some((program, turn)) = program.and_then(|p| p.current.take().map(|turn| (p, turn))) else {
        return;
    };
    let booked_tokens = used_tokens.unwrap_or(turn.reserved_tokens);
    match ran {
        Execution::NotRun => {}
        Execution::Ran => {
            program.turn = turn.number;
            program.history = history.unwrap_or(program.history);
            program.unknown = None;
            program.last = Some(FinishedTurn {
                call: turn.call,
                vm: turn.vm.clone(),
                digest: turn.digest,
                ended_us: now_us,
            });
        }
        // The unknown outcome of a request that may not be repeated blocks further such
        // requests, so that of a repeatable request must not replace it.
        Execution::MayHaveRun if program.unknown.is_some_and(|u| !u.idempotent) => {}
        Execution::MayHaveRun => {
            program.unknown = Some(UnknownTurn {
                call: turn.call,
                idempotent: turn.idempotent,
                booked_tokens,
            });
        }
    }
    budget::settle(tick, key, &turn, ran, booked_tokens);
    release::record_upstreams(tick, key, upstreams);
    if used_tokens.is_none() && ran != Execution::NotRun && turn.pool.model.is_some() {
        release::record_unknown_pool(tick, key, turn.pool);
    }
    continue_after_end(tick, key);
}

/// Updates lease, phase and waiting calls of a program after the end of a turn.
fn continue_after_end(tick: &mut Tick<'_>, key: &ProgramKey) {
    tree::renew_lease(tick, key);
    let program = tick.tables.programs.get(key);
    if program.is_some_and(|program| program.phase == Phase::Ended) {
        lifecycle::remove_if_idle(tick, key);
    } else {
        budget::close_if_exhausted(tick, key);
    }
    wait_queue::reevaluate(tick, key);
}

/// Records the outcome of a turn that was unknown until now.
fn resolve_unknown(tick: &mut Tick<'_>, vm: &VmName, settle: &Settle) {
    if settle.ran == Execution::MayHaveRun {
        return;
    }
    let now_us = tick.now_us;
    let key = &settle.state.program;
    let program = tick.tables.programs.get_mut(key);
    let Some((program, unknown)) = program.and_then(|p| p.unknown.take().map(|u| (p, u))) else {
        return;
    };
    if settle.ran == Execution::Ran {
        program.turn = settle.turn.number;
        program.history = settle.history.unwrap_or(program.history);
        program.last = Some(FinishedTurn {
            call: settle.call,
            vm: vm.clone(),
            digest: settle.turn.digest,
            ended_us: now_us,
        });
    }
    let (booked_tokens, used_tokens) = (unknown.booked_tokens, settle.used_tokens);
    budget::correct(tick, key, booked_tokens, used_tokens, settle.ran);
    release::record_upstreams(tick, key, &settle.upstreams);
    continue_after_end(tick, key);
}

/// Confirms the end of a turn; if it ran, with the continuation and permit for the next turn.
fn reply_settled(tick: &mut Tick<'_>, vm: &VmName, settle: &Settle) {
    let key = &settle.state.program;
    let is_last = |program: &Program| {
        let last = program.last.as_ref();
        last.is_some_and(|last| last.call == settle.call)
    };
    let state = match tick.tables.programs.get(key) {
        Some(program) => tree::build_continuation(tick, key).filter(|_| is_last(program)),
        // The program ended while its last turn was in progress.
        None => {
            let tombstone = tick.tables.homes.tombstones.get(key);
            let tombstone = tombstone.filter(|tombstone| is_last(&tombstone.row));
            tombstone.map(|tombstone| tombstone.state.clone())
        }
    };
    let next_turn = settle.turn.number + 1;
    let permit = state
        .as_ref()
        .and_then(|_| permits::issue(tick, key, next_turn));
    let settled = HomesMessage::Settled {
        call: settle.call,
        continuation: state.map(Box::new),
        permit: permit.map(Box::new),
    };
    tick.send(vm, settled);
}

/// Schedules probes for the turn in progress of a program that was handed over.
pub(super) fn monitor_turn(tick: &mut Tick<'_>, key: &ProgramKey) {
    let program = tick.tables.programs.get(key);
    let Some(turn) = program.and_then(|program| program.current.as_ref()) else {
        return;
    };
    let call = turn.call;
    schedule_probe(tick, key.clone(), call);
    mark_departed_unknown(tick, key);
}

/// Marks the turn in progress as unknown if its entry VM is no longer a member.
pub(super) fn mark_departed_unknown(tick: &mut Tick<'_>, key: &ProgramKey) {
    let program = tick.tables.programs.get(key);
    let Some(turn) = program.and_then(|program| program.current.clone()) else {
        return;
    };
    if takeover::is_member(tick, &turn.vm, turn.call.incarnation) {
        return;
    }
    tick.log(Decision::TurnUnknown {
        program: key.clone(),
        turn: turn.number,
        vm: turn.vm,
    });
    end_turn(tick, key, Execution::MayHaveRun, None, None, &[]);
}
