//! Start of a turn, on the entry VM.

use super::super::{Tick, admission};
use super::{HOME_TIMEOUT_MS, MOVING_RETRY_AFTER_MS, backoff_us, requests, settlement, witness};
use crate::ids::{CallId, ProgramKey, VmName};
use crate::message::{Began, Begin, Denied, HomesMessage};
use crate::output::{Execution, Output, RefusalKind};
use crate::tables::{Call, Stage, Timer};

/// Longest delay between two sends of a `Begin`.
const MAX_BEGIN_BACKOFF_MS: u64 = 1_000;

/// Shortest delay between two requests to extend a validity.
///
/// The delay is otherwise half of the remaining validity, which tends to zero as the validity
/// ends; a home on this VM replies in the same tick, so requests would repeat without a pause.
const MIN_EXTENSION_INTERVAL_US: u64 = 20_000;

/// Asks the home to start a turn, or to extend the time in which it may be dispatched.
///
/// Without a valid lease nothing is sent until the retry timer expires.
pub(super) fn request_begin(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let has_lease = tick.tables.lease.is_valid(now_us);
    let has_left = tick.tables.membership.departure.removed_us.is_some();
    let Some(call) = tick.tables.calls.get_mut(&id) else {
        return;
    };
    if call.stage == Stage::Home && call.begin_tries == 0 {
        call.home_deadline_us = now_us + HOME_TIMEOUT_MS * 1_000;
    }
    let refusal = match call.stage {
        // Homes deny turns of VMs that are not members.
        Stage::Home if has_left => Some(RefusalKind::Draining),
        Stage::Home if now_us >= call.home_deadline_us => Some(RefusalKind::HomeMoving),
        _ => None,
    };
    if let Some(kind) = refusal {
        let retry_after_ms = Some(MOVING_RETRY_AFTER_MS);
        admission::refuse(tick, id, kind, Execution::NotRun, retry_after_ms);
        return;
    }
    call.begin_tries += 1;
    let carried = call.request.program.as_ref();
    let carried = carried.and_then(|turn| turn.continuation.clone());
    let carried = carried.filter(|state| Some(&state.program) == call.program.as_ref());
    let begin = has_lease.then(|| build_begin(call, now_us)).flatten();
    call.has_asked_home |= begin.is_some();
    let wait_us = backoff_us(call.begin_tries, MAX_BEGIN_BACKOFF_MS);
    if let Some(state) = carried {
        witness::record_carried_state(tick, &state);
    }
    schedule_retry(tick, id, wait_us);
    let Some(begin) = begin else {
        return;
    };
    if let Some(home) = tick.tables.view.program_home(&begin.program).cloned() {
        tick.send(&home, HomesMessage::Begin(Box::new(begin)));
    }
}

/// Builds the `Begin` of a call; `None` if the call does not belong to a program.
fn build_begin(call: &Call, now_us: u64) -> Option<Begin> {
    let turn = call.request.program.as_ref()?;
    Some(Begin {
        call: call.request.id,
        sent_us: now_us,
        program: call.program.clone()?,
        turn: turn.turn,
        continuation: turn.continuation.clone(),
        permit: call.request.permit.clone(),
        idempotent: call.idempotent,
        reserve_tokens: call.max_total_tokens(),
        digest: call.request.digest,
        pool: call.pool.clone(),
    })
}

/// Schedules the next send of `Begin`, replacing an earlier schedule.
fn schedule_retry(tick: &mut Tick<'_>, id: CallId, wait_us: u64) {
    let due_us = tick.now_us + wait_us;
    if let Some(call) = tick.tables.calls.get_mut(&id) {
        call.begin_due_us = due_us;
        tick.tables.timers.set(due_us, Timer::TurnRetry(id));
    }
}

/// Resends `Begin` if it is due and the call has not been dispatched.
pub(super) fn retry(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let is_due = tick.tables.calls.get(&id).is_some_and(|call| {
        matches!(call.stage, Stage::Home | Stage::Place) && call.begin_due_us <= now_us
    });
    if is_due {
        request_begin(tick, id);
    }
}

/// Handles a `Began`: records its validity and passes the call on to placement.
///
/// While the call waits for an upstream, an extension is requested each time
/// half of the remaining validity has passed.
pub(super) fn handle_began(tick: &mut Tick<'_>, home: &VmName, began: Began) {
    let id = began.call;
    let lease_until_us = tick.tables.lease.until_us;
    let now_us = tick.now_us;
    let Some(call) = tick.tables.calls.get_mut(&id) else {
        report_unknown_call(tick, home, id, began.state.program);
        return;
    };
    if !matches!(call.stage, Stage::Home | Stage::Place) {
        return;
    }
    let valid_until_us = began.sent_us.saturating_add(began.valid_us);
    let valid_until_us = valid_until_us.min(lease_until_us);
    if valid_until_us <= now_us {
        schedule_retry(tick, id, MIN_EXTENSION_INTERVAL_US);
        return;
    }
    let awaits_home = call.stage == Stage::Home;
    call.generation = began.state.generation;
    call.valid_until_us = valid_until_us;
    call.begin_tries = 0;
    call.state = Some(Box::new(began.state.clone()));
    let wait_us = (valid_until_us - now_us) / 2;
    schedule_retry(tick, id, wait_us.max(MIN_EXTENSION_INTERVAL_US));
    witness::record_state(tick, began.state);
    if awaits_home {
        admission::enter_stage(tick, id, Stage::Place);
    }
}

/// Tells a home that this VM does not know a call that the home has as a turn in progress.
///
/// If the end of the call is not confirmed yet, it is reported again instead. A call from
/// before the restart of this VM may have run.
fn report_unknown_call(tick: &mut Tick<'_>, home: &VmName, call: CallId, program: ProgramKey) {
    if tick.tables.homes.pending_settles.contains_key(&call) {
        settlement::send(tick, call);
        return;
    }
    let ran = if call.incarnation == tick.settings.incarnation {
        Execution::NotRun
    } else {
        Execution::MayHaveRun
    };
    tick.send(home, HomesMessage::Gone { call, program, ran });
}

/// Handles a probe by the home; a call that is in progress needs no reply.
pub(super) fn handle_probe(tick: &mut Tick<'_>, home: &VmName, call: CallId, program: ProgramKey) {
    if !tick.tables.calls.contains_key(&call) {
        report_unknown_call(tick, home, call, program);
    }
}

/// Handles a `Pending`: extends the deadline, as the home is alive and has queued the call.
pub(super) fn handle_pending(tick: &mut Tick<'_>, id: CallId) {
    let give_up_us = tick.now_us + HOME_TIMEOUT_MS * 1_000;
    if let Some(call) = tick.tables.calls.get_mut(&id)
        && call.stage == Stage::Home
    {
        call.home_deadline_us = give_up_us;
    }
}

/// Handles a `Denied`: refuses the call, or retries while its program changes its home.
pub(super) fn handle_denied(tick: &mut Tick<'_>, denied: Denied) {
    let now_us = tick.now_us;
    let Some(call) = tick.tables.calls.get_mut(&denied.call) else {
        requests::handle_denied(tick, denied);
        return;
    };
    if call.stage != Stage::Home {
        return;
    }
    if denied.kind == RefusalKind::HomeMoving && now_us < call.home_deadline_us {
        let retry_after_ms = denied.retry_after_ms.unwrap_or(MOVING_RETRY_AFTER_MS);
        let wait_ms = retry_after_ms.clamp(20, MOVING_RETRY_AFTER_MS);
        schedule_retry(tick, denied.call, wait_ms * 1_000);
        return;
    }
    if !call.may_have_run {
        // The home has no turn in progress for the call, so its end need not be reported.
        call.has_asked_home = false;
    }
    let Denied {
        call,
        kind,
        ran,
        retry_after_ms,
    } = denied;
    admission::refuse(tick, call, kind, ran, retry_after_ms);
}

/// Answers a resent call with the stored response.
pub(super) fn handle_kept(tick: &mut Tick<'_>, replay: Output, id: CallId) {
    let call = tick.tables.calls.get(&id);
    if call.is_some_and(|call| call.stage == Stage::Home) {
        tick.tables.calls.remove(&id);
        tick.outputs.push(replay);
    }
}
