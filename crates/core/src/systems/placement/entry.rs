//! The entry VM's side of placement: requests upstreams and dispatches attempts.

use smallvec::SmallVec;

use super::super::{Tick, admission, confinement};
use super::dispatch::dispatch;
use super::{finish, refusal, stated_rates};
use crate::ids::{AttemptId, CallId, PoolKey, StreamOrigin, UpstreamName};
use crate::message::{InFlight, Place, PlacementMessage};
use crate::output::{Execution, PlacementReason, RefusalKind};
use crate::tables::{Call, Stage, Timer};

/// Unanswered requests after which the owner of a pool is considered failed.
const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// Interval at which a queued call is confirmed, in request timeouts.
const CONFIRM_TIMEOUTS: u64 = 5;

/// The upstream of an attempt, the reason for its selection and the runners-up.
pub(super) type Assignment = (UpstreamName, PlacementReason, SmallVec<[UpstreamName; 2]>);

/// Starts the next attempt of a call and requests an upstream from the owner of the pool.
pub(super) fn start_attempt(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let Some(call) = tick.tables.calls.get_mut(&id) else {
        return;
    };
    call.attempts += 1;
    call.sent = false;
    call.upstream = None;
    call.placement.unanswered = 0;
    call.placement.first_token_us = 0;
    let due_us = now_us + tick.settings.queue_ms * 1_000;
    let deadline_us = call.relay.as_ref().map(|relay| relay.deadline_us);
    let due_us = deadline_us.map_or(due_us, |deadline_us| due_us.min(deadline_us));
    call.placement.queue_until_us = due_us;
    let attempt = call.attempt();
    let pool = call.pool.clone();
    if call.attempts == 1
        && let Some(row) = tick.tables.pools.get_mut(&pool)
    {
        row.retry_budget.count_call(now_us);
    }
    tick.tables.timers.set(due_us, Timer::QueueWait(attempt));
    send_place(tick, id);
}

/// Sends or resends the placement request of a call's current attempt.
pub(super) fn send_place(tick: &mut Tick<'_>, id: CallId) {
    let Some(call) = tick.tables.calls.get(&id) else {
        return;
    };
    let Some(owner) = tick.tables.view.pool_owner(&call.pool).cloned() else {
        let ran = call.execution();
        admission::refuse(tick, id, RefusalKind::NoUpstream, ran, Some(1_000));
        return;
    };
    let mut place = build_place(call);
    let previous = AttemptId {
        call: id,
        number: call.attempts.saturating_sub(1),
    };
    place.ended = tick.tables.finishing.get(&previous).cloned();
    if owner != tick.settings.vm {
        schedule_answer_check(tick, place.attempt, 1);
    }
    tick.send(&owner, PlacementMessage::Place(Box::new(place)));
}

/// Builds the placement request of a call's current attempt.
fn build_place(call: &Call) -> Place {
    let turn = call.request.program.as_ref();
    let continuation = turn.and_then(|turn| turn.continuation.as_ref());
    Place {
        pool: call.pool.clone(),
        attempt: call.attempt(),
        account: call.account.clone(),
        // Only engines cache the prompts of programs.
        program: call
            .program_key()
            .filter(|_| call.relay.is_none() || call.pool.model.is_some())
            .cloned(),
        spent_tokens: continuation.map_or(0, |continuation| continuation.spent_tokens),
        prompt_tokens: call.request.prompt_tokens,
        max_tokens: call.request.max_tokens,
        digest: call.request.digest,
        crashes: call.placement.crashes,
        avoid: call.avoid.clone(),
        ended: None,
        priority: call.relay.as_ref().map(|relay| relay.priority),
        only: call.relay.as_ref().and_then(|relay| relay.only.clone()),
        origin: origin_of(call).cloned(),
    }
}

/// Returns where the stream of a call began, if its caller has received an event.
fn origin_of(call: &Call) -> Option<&StreamOrigin> {
    call.relay.as_ref()?.origin.as_ref()
}

/// Schedules a check for the pool owner's answer after a number of request timeouts.
fn schedule_answer_check(tick: &mut Tick<'_>, attempt: AttemptId, timeouts: u64) {
    let due_us = tick.now_us + timeouts * tick.settings.placement_timeout_ms * 1_000;
    if let Some(call) = tick.tables.calls.get_mut(&attempt.call) {
        call.placement.check_us = due_us;
    }
    tick.tables.timers.set(due_us, Timer::PlaceWait(attempt));
}

/// Handles the pool owner's confirmation that a call is queued.
pub(super) fn handle_queued(tick: &mut Tick<'_>, attempt: AttemptId) {
    if !is_waiting(tick, attempt) {
        return;
    }
    if let Some(call) = tick.tables.calls.get_mut(&attempt.call) {
        call.placement.unanswered = 0;
    }
    schedule_answer_check(tick, attempt, CONFIRM_TIMEOUTS);
}

/// Resends an unanswered request, or places the call locally if the owner is considered failed.
pub(super) fn check_answer(tick: &mut Tick<'_>, attempt: AttemptId) {
    if !is_waiting(tick, attempt) {
        return;
    }
    let now_us = tick.now_us;
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    if now_us < call.placement.check_us {
        return;
    }
    call.placement.unanswered += 1;
    // Only an owner knows how many copies of a suspect content run, so these calls wait for one.
    let is_suspect = call.placement.crashes > 0;
    if call.placement.unanswered >= MAX_UNANSWERED_REQUESTS
        && !is_suspect
        && place_locally(tick, attempt)
    {
        return;
    }
    send_place(tick, attempt.call);
}

/// Places a call without the pool owner, on the usable upstream with the fewest calls of this VM.
///
/// Scans the whole pool, which happens only for calls whose owner has failed.
fn place_locally(tick: &mut Tick<'_>, attempt: AttemptId) -> bool {
    let Some(call) = tick.tables.calls.get(&attempt.call) else {
        return false;
    };
    let Some(pool) = tick.tables.pools.get(&call.pool) else {
        return false;
    };
    let mut ranked: SmallVec<[(bool, u32, &UpstreamName); 8]> = pool
        .upstreams
        .iter()
        .filter_map(|name| {
            let row = tick.tables.upstreams.get(name)?;
            let is_avoided = call.avoid.contains(name);
            let is_usable = row.is_usable(tick.now_us)
                && row.fits(origin_of(call))
                && row.own_calls < row.limit.max;
            is_usable.then_some((is_avoided, row.own_calls, name))
        })
        .collect();
    ranked.sort();
    let mut runners_up: SmallVec<[UpstreamName; 2]> = ranked
        .into_iter()
        .take(3)
        .map(|(_, _, name)| name.clone())
        .collect();
    if runners_up.is_empty() {
        return false;
    }
    let upstream = runners_up.remove(0);
    let key = call.pool.clone();
    let running = in_flight_report(call, upstream.clone());
    if let Some(owner) = tick.tables.view.pool_owner(&key).cloned() {
        let message = PlacementMessage::InFlight {
            pool: key,
            attempts: vec![running],
        };
        tick.send(&owner, message);
    }
    dispatch(
        tick,
        attempt,
        (upstream, PlacementReason::OwnerSilent, runners_up),
    );
    true
}

/// Builds the report of a running attempt for the owner of its pool.
pub(super) fn in_flight_report(call: &Call, upstream: UpstreamName) -> InFlight {
    InFlight {
        attempt: call.attempt(),
        upstream,
        account: call.account.clone(),
        program: call.program.clone(),
        digest: call.request.digest,
        crashes: call.placement.crashes,
    }
}

/// Returns whether an attempt is still waiting for an upstream.
fn is_waiting(tick: &Tick<'_>, attempt: AttemptId) -> bool {
    let call = tick.tables.calls.get(&attempt.call);
    call.is_some_and(|call| call.stage == Stage::Place && call.attempt() == attempt)
}

/// Dispatches an attempt that the owner has placed, or releases its upstream.
pub(super) fn handle_placed(
    tick: &mut Tick<'_>,
    pool: &PoolKey,
    attempt: AttemptId,
    assignment: Assignment,
) {
    if is_waiting(tick, attempt) {
        let call = tick.tables.calls.get(&attempt.call);
        let digest = call.map(|call| call.request.digest).unwrap_or_default();
        if tick.tables.quarantine.contains_key(&digest) {
            finish::release_unused(tick, pool, attempt, assignment.0);
            handle_unplaced(tick, attempt, RefusalKind::Quarantined);
            return;
        }
        if !tick.tables.upstreams.contains_key(&assignment.0) {
            // The owner of the pool has an older configuration than this VM, and is asked again.
            finish::release_unused(tick, pool, attempt, assignment.0);
            schedule_answer_check(tick, attempt, 1);
            return;
        }
        if !fits_stream(tick, call, &assignment.0) {
            // The owner of the pool has read another list of upstreams than this VM.
            finish::release_unused(tick, pool, attempt, assignment.0);
            handle_unplaced(tick, attempt, RefusalKind::StreamNotResumable);
            return;
        }
        if call.is_some_and(|call| tick.now_us >= valid_until_us(call)) {
            // The home has to confirm the turn again before the call may start.
            finish::release_unused(tick, pool, attempt, assignment.0);
            admission::enter_stage(tick, attempt.call, Stage::Home);
            return;
        }
        dispatch(tick, attempt, assignment);
        return;
    }
    let call = tick.tables.calls.get(&attempt.call);
    let runs_there = call.is_some_and(|call| {
        call.stage == Stage::Running
            && call.attempt() == attempt
            && call.upstream.as_ref() == Some(&assignment.0)
    });
    // The owner is already being told that an attempt in `finishing` has ended.
    if !runs_there && !tick.tables.finishing.contains_key(&attempt) {
        finish::release_unused(tick, pool, attempt, assignment.0);
    }
}

/// Returns whether the stream of a call, if it has begun, may go on at an upstream.
fn fits_stream(tick: &Tick<'_>, call: Option<&Call>, upstream: &UpstreamName) -> bool {
    let origin = call.and_then(origin_of);
    let row = tick.tables.upstreams.get(upstream);
    origin.is_none() || row.is_some_and(|row| row.fits(origin))
}

/// Returns the time after which a call must not be dispatched.
///
/// An idempotent call may run more than once, so it may stay queued for longer
/// than the lease of its home lasts.
pub(super) fn valid_until_us(call: &Call) -> u64 {
    if call.idempotent {
        u64::MAX
    } else {
        call.valid_until_us
    }
}

/// Cancels the wait timers of a call that is no longer queued.
///
/// At a high call rate they would otherwise pile up for the maximum queue time.
pub(super) fn cancel_wait_timers(tick: &mut Tick<'_>, attempt: AttemptId) {
    let tables = &mut *tick.tables;
    if let Some(call) = tables.calls.get(&attempt.call) {
        let waits = (call.placement.queue_until_us, call.placement.check_us);
        tables.timers.cancel(waits.0, Timer::QueueWait(attempt));
        tables.timers.cancel(waits.1, Timer::PlaceWait(attempt));
    }
}

/// Refuses a call whose wait for an upstream has timed out.
pub(super) fn expire_wait(tick: &mut Tick<'_>, attempt: AttemptId) {
    if !is_waiting(tick, attempt) {
        return;
    }
    let Some(call) = tick.tables.calls.get(&attempt.call) else {
        return;
    };
    let (pool, ran) = (call.pool.clone(), call.execution());
    if let Some(owner) = tick.tables.view.pool_owner(&pool).cloned() {
        tick.send(&owner, PlacementMessage::Withdraw { pool, attempt });
    }
    let kind = RefusalKind::NoUpstream;
    admission::refuse(tick, attempt.call, kind, ran, Some(1_000));
}

/// Refuses a call that the pool owner declined to place.
pub(super) fn handle_unplaced(tick: &mut Tick<'_>, attempt: AttemptId, kind: RefusalKind) {
    if !is_waiting(tick, attempt) {
        return;
    }
    let call = tick.tables.calls.get(&attempt.call);
    let ran = call.map_or(Execution::NotRun, Call::execution);
    let retry_after_ms = match kind {
        RefusalKind::UpstreamsLimited => {
            call.and_then(|call| stated_rates::retry_after_ms(tick, &call.pool))
        }
        RefusalKind::PoolBusy => refusal::book_return_ms(tick, attempt.call),
        RefusalKind::Evacuated => Some(confinement::EVACUATED_RETRY_MS),
        _ => None,
    };
    admission::refuse(tick, attempt.call, kind, ran, retry_after_ms);
}
