//! Reporting of the end of a turn, on the entry VM.

use super::super::{Tick, outcomes};
use super::{HOME_TIMEOUT_MS, backoff_us, witness};
use crate::ids::{CallId, HistoryDigest, ProgramKey, UpstreamName};
use crate::input::{Continuation, Permit};
use crate::message::{HomesMessage, RunningTurn, Settle};
use crate::output::Execution;
use crate::tables::{Call, PendingSettle, Stage, Timer};
use smallvec::SmallVec;

/// Longest delay between two sends of a `Settle`.
const MAX_SETTLE_BACKOFF_MS: u64 = 2_000;

/// Reports the end of a turn to the home and repeats the report until it is confirmed.
pub(crate) fn end_turn(
    tick: &mut Tick<'_>,
    call: &Call,
    ran: Execution,
    used_tokens: u64,
    history: Option<HistoryDigest>,
) {
    let Some(turn) = running_turn(call).filter(|_| call.has_asked_home) else {
        return;
    };
    let Some(program) = call.program.clone() else {
        return;
    };
    let upstreams = upstreams_of(call);
    witness::record_upstreams(tick, &program, &upstreams);
    let settle = Settle {
        call: call.request.id,
        state: state_before(call, program),
        turn,
        ran,
        used_tokens,
        // A call without a model has no messages, so it does not change the history.
        history: history.filter(|_| call.pool.model.is_some()),
        upstreams,
    };
    let pending = PendingSettle {
        settle: Box::new(settle),
        since_us: tick.now_us,
        tries: 0,
    };
    tick.tables
        .homes
        .pending_settles
        .insert(call.request.id, pending);
    send(tick, call.request.id);
}

/// Returns the turn of a call as it is reported to a home; `None` outside of a program.
pub(super) fn running_turn(call: &Call) -> Option<RunningTurn> {
    Some(RunningTurn {
        call: call.request.id,
        number: call.request.program.as_ref()?.turn,
        idempotent: call.idempotent,
        reserve_tokens: call.max_total_tokens(),
        digest: call.request.digest,
        pool: call.pool.clone(),
    })
}

/// Returns the engines that may hold memory of the program because of this call.
pub(super) fn upstreams_of(call: &Call) -> SmallVec<[UpstreamName; 4]> {
    if call.pool.model.is_none() {
        return SmallVec::new();
    }
    call.avoid.iter().chain(&call.upstream).cloned().collect()
}

/// Returns the program state before the turn.
///
/// A turn that never began has only the continuation sent by its caller, if any.
fn state_before(call: &Call, program: ProgramKey) -> Continuation {
    if let Some(state) = &call.state {
        return (**state).clone();
    }
    let turn = call.request.program.as_ref();
    if let Some(carried) = turn.and_then(|turn| turn.continuation.clone()) {
        return carried;
    }
    Continuation {
        program,
        generation: 0,
        turn: turn.map_or(0, |turn| turn.turn.saturating_sub(1)),
        history: HistoryDigest::default(),
        spent_tokens: 0,
        age_ms: 0,
        epoch: Default::default(),
    }
}

/// Sends a `Settle` to the current home and schedules the next attempt.
pub(super) fn send(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let Some(pending) = tick.tables.homes.pending_settles.get_mut(&id) else {
        return;
    };
    pending.tries += 1;
    let has_waited = now_us >= pending.since_us + HOME_TIMEOUT_MS * 1_000;
    let wait_us = backoff_us(pending.tries, MAX_SETTLE_BACKOFF_MS);
    let settle = pending.settle.clone();
    tick.tables
        .timers
        .set(now_us + wait_us, Timer::SettleRetry(id));
    if let Some(home) = tick
        .tables
        .view
        .program_home(&settle.state.program)
        .cloned()
    {
        tick.send(&home, HomesMessage::Settle(settle));
    }
    if has_waited {
        // The response is complete, so the caller need not wait any longer; it gets no continuation.
        answer(tick, id, None, None);
    }
}

/// Handles the confirmation of a `Settle` and answers the call.
pub(super) fn handle_settled(
    tick: &mut Tick<'_>,
    id: CallId,
    continuation: Option<Box<Continuation>>,
    permit: Option<Box<Permit>>,
) {
    if tick.tables.homes.pending_settles.remove(&id).is_none() {
        return;
    }
    if let Some(state) = &continuation {
        witness::record_state(tick, (**state).clone());
    }
    answer(tick, id, continuation.map(|c| *c), permit.map(|p| *p));
}

/// Answers a call that has run, if it still waits for the home.
fn answer(
    tick: &mut Tick<'_>,
    id: CallId,
    continuation: Option<Continuation>,
    permit: Option<Permit>,
) {
    let call = tick.tables.calls.get(&id);
    if call.is_some_and(|call| call.stage == Stage::Settling) {
        outcomes::answer_call(tick, id, continuation, permit);
    }
}
