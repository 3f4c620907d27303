//! The pool owner's side of placement: queues calls and assigns them to upstreams.

use smallvec::SmallVec;

use super::super::{Sender, Tick, links, outcomes, pacing, rates};
use super::selection::{self, SelectedUpstream, Selection};
use super::{
    availability, claims, exclusive, hints, limits, origins, queue_order, refusal, speeds,
    stated_rates, urgency,
};
use crate::config::UpstreamChoice;
use crate::ids::{AttemptId, PoolKey};
use crate::message::{AttemptResult, Finish, Place, PlacementMessage};
use crate::output::{PlacementReason, RefusalKind};
use crate::tables::{QueuedCall, RunningAttempt, Suspect, Timer};

/// Interval at which entry VMs are asked whether their attempts still run.
const RUNNING_CHECK_INTERVAL_US: u64 = 5_000_000;

/// Expected tokens of a response before any has been measured.
const DEFAULT_ANSWER_TOKENS: u64 = 200;

/// Queues a call in its pool; a repeated request gets the same answer.
pub(super) fn enqueue(tick: &mut Tick<'_>, sender: &Sender, mut place: Place) {
    let attempt = place.attempt;
    if let Some(ended) = place.ended.take() {
        finish_attempt(tick, &ended);
    }
    if tick.tables.running.contains_key(&attempt) {
        resend_placed(tick, attempt);
        return;
    }
    let pool = place.pool.clone();
    let Some(row) = tick.tables.pools.get(&pool) else {
        return;
    };
    let is_remote = sender.vm != tick.settings.vm;
    if !row.is_waiting(&attempt) {
        outcomes::raise_crash_count(tick, place.digest, place.crashes);
        hints::raise_attained_tokens(tick, &place);
        let waiting = QueuedCall {
            vm: sender.vm.clone(),
            place,
            arrived_us: tick.now_us,
        };
        if let Some(kind) = origins::find_stranded(tick, &waiting) {
            refuse(tick, waiting, kind);
            return;
        }
        if links::is_unreachable(tick, &pool) {
            refuse(tick, waiting, RefusalKind::NoUpstream);
            return;
        }
        urgency::record_call(tick, &waiting.place);
        urgency::count_arrival(tick, &waiting.place);
        availability::push(tick, waiting);
        stated_rates::refresh(tick, &pool);
        assign(tick, &pool);
        pacing::count_held_back(tick, &pool, attempt);
        refusal::refuse_excess(tick, &pool);
        refusal::refuse_hopeless(tick, &pool, attempt);
        urgency::schedule_review(tick, &pool, attempt);
        schedule_aging(tick, &pool, attempt);
    }
    let is_waiting = |row: &crate::tables::Pool| row.is_waiting(&attempt);
    if is_remote && tick.tables.pools.get(&pool).is_some_and(is_waiting) {
        tick.send(&sender.vm, PlacementMessage::Queued { attempt });
    }
}

/// Schedules the move of a queued call to the front of its account.
fn schedule_aging(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    let row = tick.tables.pools.get(pool);
    if row.is_some_and(|row| row.queue.get(&attempt).is_some()) {
        let due_us = queue_order::aging_due_us(tick, tick.now_us);
        tick.tables
            .timers
            .set(due_us, Timer::QueueAge(pool.clone(), attempt));
    }
}

/// Requeues a call that has waited long enough to rank first in its account.
pub(super) fn requeue_aged(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    let row = tick.tables.pools.get_mut(pool);
    if let Some(waiting) = row.and_then(|row| row.queue.remove(attempt)) {
        availability::push(tick, waiting);
    }
}

/// Resends the assignment of a running attempt to its entry VM.
fn resend_placed(tick: &mut Tick<'_>, attempt: AttemptId) {
    let Some(running) = tick.tables.running.get(&attempt) else {
        return;
    };
    let vm = running.vm.clone();
    let placed = PlacementMessage::Placed {
        pool: running.pool.clone(),
        attempt,
        upstream: running.upstream.clone(),
        reason: PlacementReason::Repeated,
        runners_up: SmallVec::new(),
    };
    tick.send(&vm, placed);
}

/// Asks the entry VM of an attempt whether it still runs.
///
/// The entry VM answers `Placed` with a finish report if the call no longer
/// waits or runs. This releases an attempt that was placed for a late or
/// duplicate request even if the first `Placed` was lost.
pub(super) fn check_running(tick: &mut Tick<'_>, attempt: AttemptId) {
    if !tick.tables.running.contains_key(&attempt) {
        return;
    }
    resend_placed(tick, attempt);
    let due_us = tick.now_us + RUNNING_CHECK_INTERVAL_US;
    tick.tables.timers.set(due_us, Timer::RunningCheck(attempt));
}

/// Assigns waiting calls of a pool while upstreams have room.
pub(super) fn assign(tick: &mut Tick<'_>, pool: &PoolKey) {
    exclusive::assign(tick, pool);
    exclusive::release_reservations(tick, pool);
    while assign_next(tick, pool) {}
}

/// Removes the first queued call that can be assigned, refused or diverted, and does so.
///
/// Returns whether there was one.
fn assign_next(tick: &mut Tick<'_>, pool: &PoolKey) -> bool {
    let Some(row) = tick.tables.pools.get(pool) else {
        return false;
    };
    if row.available.is_empty() || row.queue.is_empty() {
        return false;
    }
    let share = claims::share(tick, pool);
    if !claims::has_place(tick, pool, share) {
        return false;
    }
    let yields = urgency::yields(tick, pool);
    let order = queue_order::lane_order(tick, pool);
    let Some(row) = tick.tables.pools.get(pool) else {
        return false;
    };
    let placeable = |waiting: &QueuedCall| !selection::waits_for_fitting(tick, row, waiting);
    let is_turn_of_oldest = row.deadlines.is_turn_of_oldest(tick.now_us);
    let oldest = is_turn_of_oldest.then(|| row.queue.oldest(placeable));
    let candidates = row.queue.candidates(order, placeable);
    for attempt in oldest.flatten().into_iter().chain(candidates) {
        if yields && urgency::is_late(tick, pool, attempt) {
            continue;
        }
        if divert_suspect(tick, pool, attempt) {
            return true;
        }
        let row = tick.tables.pools.get(pool);
        let Some(waiting) = row.and_then(|row| row.queue.get(&attempt)) else {
            continue;
        };
        let selection = selection::select_upstream(tick, pool, waiting, share);
        if matches!(selection, Selection::Wait) {
            continue;
        }
        let row = tick.tables.pools.get_mut(pool);
        let waiting = row.and_then(|row| row.queue.remove(attempt));
        match (selection, waiting) {
            (Selection::Assign(chosen), Some(waiting)) => place(tick, waiting, chosen, false),
            (Selection::Refuse(kind), Some(waiting)) => refuse(tick, waiting, kind),
            (Selection::Wait, _) | (_, None) => {}
        }
        return true;
    }
    false
}

/// Removes a call from the queue if its content is quarantined, held or must run alone.
///
/// Returns whether the call was removed.
fn divert_suspect(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) -> bool {
    if tick.tables.suspects.is_empty() && tick.tables.quarantine.is_empty() {
        return false;
    }
    let Some(row) = tick.tables.pools.get_mut(pool) else {
        return false;
    };
    let Some(digest) = row.queue.get(&attempt).map(|waiting| waiting.place.digest) else {
        return false;
    };
    let is_quarantined = tick.tables.quarantine.contains_key(&digest);
    let suspect = tick.tables.suspects.get(&digest).copied();
    let suspect = suspect.unwrap_or_default();
    let is_held = suspect.pending_examinations > 0 || (suspect.crashes > 0 && suspect.running > 0);
    if !is_quarantined && !is_held && !suspect.must_run_exclusively() {
        return false;
    }
    let Some(waiting) = row.queue.remove(attempt) else {
        return false;
    };
    if is_quarantined {
        refuse(tick, waiting, RefusalKind::Quarantined);
    } else if is_held {
        row.held.entry(digest).or_default().push_back(waiting);
    } else {
        row.exclusive.push_back(waiting);
        exclusive::assign(tick, pool);
    }
    true
}

/// Tells the entry VM of a call that it will not be placed.
pub(super) fn refuse(tick: &mut Tick<'_>, waiting: QueuedCall, kind: RefusalKind) {
    let unplaced = PlacementMessage::Unplaced {
        attempt: waiting.place.attempt,
        kind,
    };
    tick.send(&waiting.vm, unplaced);
}

/// Records a call as running on an upstream and sends the assignment to its entry VM.
pub(super) fn place(
    tick: &mut Tick<'_>,
    waiting: QueuedCall,
    chosen: SelectedUpstream,
    is_exclusive: bool,
) {
    let now_us = tick.now_us;
    let place = waiting.place;
    let attempt = place.attempt;
    let booked_service = book_service(tick, &place, chosen.cached_tokens);
    let mut prefill_wait_us = 0;
    rates::take_upstream_call(tick, &chosen.upstream);
    claims::count_placed(tick, &place.pool, &chosen.upstream);
    if let Some(row) = tick.tables.upstreams.get_mut(&chosen.upstream) {
        row.attempts.insert(attempt);
        row.has_exclusive_call |= is_exclusive;
        row.peak_calls[0] = row.peak_calls[0].max(row.attempts.len() as u32);
        let read_tokens = place.prompt_tokens.saturating_sub(chosen.cached_tokens);
        let from_us = row.prefill_until_us.max(now_us);
        prefill_wait_us = from_us - now_us;
        row.prefill_until_us = from_us + read_tokens * row.prefill_ns_per_token / 1_000;
    }
    urgency::record_placement(tick, &place, waiting.arrived_us);
    if let Some(suspect) = tick.tables.suspects.get_mut(&place.digest) {
        suspect.running += 1;
    }
    let running = RunningAttempt {
        upstream: chosen.upstream.clone(),
        pool: place.pool.clone(),
        vm: waiting.vm.clone(),
        account: place.account,
        program: place.program,
        digest: place.digest,
        is_exclusive,
        placed_us: now_us,
        prefill_wait_us,
        expected_cached_tokens: chosen.cached_tokens,
        booked_service,
        is_counted_in_crash: false,
    };
    tick.tables.running.insert(attempt, running);
    if waiting.vm != tick.settings.vm {
        let due_us = now_us + RUNNING_CHECK_INTERVAL_US;
        tick.tables.timers.set(due_us, Timer::RunningCheck(attempt));
    }
    if tick.settings.policy.upstream_choice == UpstreamChoice::RoundRobin
        && let Some(row) = tick.tables.pools.get_mut(&place.pool)
    {
        let position = row
            .upstreams
            .iter()
            .position(|name| *name == chosen.upstream);
        row.next_round_robin = position.map_or(0, |position| position + 1);
    }
    availability::refresh_availability(tick, &chosen.upstream);
    let placed = PlacementMessage::Placed {
        pool: place.pool,
        attempt,
        upstream: chosen.upstream,
        reason: chosen.reason,
        runners_up: chosen.runners_up,
    };
    tick.send(&waiting.vm, placed);
}

/// Books the expected service of a call for its account and returns it.
fn book_service(tick: &mut Tick<'_>, place: &Place, cached_tokens: u64) -> u64 {
    let lane = queue_order::lane_of(tick, &place.account);
    let Some(row) = tick.tables.pools.get(&place.pool) else {
        return 0;
    };
    let answer_tokens = match row.mean_answer_tokens {
        0 => DEFAULT_ANSWER_TOKENS,
        tokens => tokens,
    };
    let answer_tokens = answer_tokens.min(place.max_tokens);
    let service = queue_order::service_units(place.prompt_tokens, cached_tokens, answer_tokens);
    let booked_service = queue_order::weighted_service(tick, &place.account, service);
    if let Some(row) = tick.tables.pools.get_mut(&place.pool) {
        row.queue.add_service(&lane, booked_service);
    }
    booked_service
}

/// Removes a waiting call, or releases its upstream if it was placed in the meantime.
pub(super) fn withdraw(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    if let Some(row) = tick.tables.pools.get_mut(pool) {
        row.remove_waiting(attempt);
    }
    let Some(running) = tick.tables.running.get(&attempt) else {
        return;
    };
    let unused = Finish {
        pool: pool.clone(),
        attempt,
        upstream: running.upstream.clone(),
        result: AttemptResult::Unused,
        prompt_tokens: 0,
        cached_tokens: 0,
        answer_tokens: 0,
        first_token_us: 0,
        total_us: 0,
    };
    finish_attempt(tick, &unused);
}

/// Releases the upstream of an attempt that has ended and records the result.
///
/// A repeated report has no effect, because the attempt is no longer in `running`.
pub(super) fn finish_attempt(tick: &mut Tick<'_>, finish: &Finish) {
    let Some(running) = tick.tables.running.remove(&finish.attempt) else {
        return;
    };
    release(tick, finish.attempt, &running);
    settle_service(tick, &running, finish);
    if running.upstream == finish.upstream {
        pacing::record_result(tick, &running, finish);
        record_result(tick, &running, finish);
    }
    if let Some(suspect) = tick.tables.suspects.get(&running.digest)
        && suspect.running == 0
        && suspect.pending_examinations == 0
    {
        availability::requeue_held(tick, &running.pool, &running.digest);
    }
    urgency::count_yielded_place(tick, &running.pool);
    availability::refresh_and_assign(tick, &running.upstream);
}

/// Removes an attempt from its upstream and ends its reservation.
pub(super) fn release(tick: &mut Tick<'_>, attempt: AttemptId, running: &RunningAttempt) {
    if let Some(row) = tick.tables.upstreams.get_mut(&running.upstream) {
        row.attempts.remove(&attempt);
        if running.is_exclusive {
            row.has_exclusive_call = false;
        }
    }
    if running.is_exclusive
        && let Some(pool) = tick.tables.pools.get_mut(&running.pool)
    {
        pool.reserved.remove(&running.upstream);
    }
    if let Some(suspect) = tick.tables.suspects.get_mut(&running.digest) {
        suspect.running = suspect.running.saturating_sub(1);
    }
}

/// Replaces the service booked for an attempt by the service it received.
fn settle_service(tick: &mut Tick<'_>, running: &RunningAttempt, finish: &Finish) {
    let lane = queue_order::lane_of(tick, &running.account);
    let is_complete = matches!(finish.result, AttemptResult::Complete);
    let prompt_tokens = if is_complete { finish.prompt_tokens } else { 0 };
    let service =
        queue_order::service_units(prompt_tokens, finish.cached_tokens, finish.answer_tokens);
    let received = queue_order::weighted_service(tick, &running.account, service);
    let Some(row) = tick.tables.pools.get_mut(&running.pool) else {
        return;
    };
    if received >= running.booked_service {
        row.queue
            .add_service(&lane, received - running.booked_service);
    } else {
        row.queue
            .subtract_service(&lane, running.booked_service - received);
    }
    if is_complete {
        let mean = if row.mean_answer_tokens == 0 {
            finish.answer_tokens
        } else {
            (row.mean_answer_tokens * 31 + finish.answer_tokens) / 32
        };
        row.mean_answer_tokens = mean;
    }
}

/// Updates health, limits and cache hints from the result of an attempt.
fn record_result(tick: &mut Tick<'_>, running: &RunningAttempt, finish: &Finish) {
    match finish.result {
        AttemptResult::Complete => {
            if let Some(row) = tick.tables.upstreams.get_mut(&finish.upstream) {
                row.health.record_success();
            }
            outcomes::clear_crash_count(tick, &running.digest);
            limits::record_completion(tick, running, finish);
            hints::record_completion(tick, running, finish);
        }
        AttemptResult::Failed => outcomes::record_failure(tick, &finish.upstream),
        AttemptResult::NotConnected => outcomes::record_connection_refused(tick, &finish.upstream),
        AttemptResult::Lost => outcomes::record_lost_connection(tick, finish.attempt, running),
        AttemptResult::Full => {
            speeds::record_rejection(tick, &finish.upstream);
            outcomes::back_off_full(tick, &finish.upstream);
        }
        AttemptResult::Unused => {}
        AttemptResult::Unreachable => outcomes::record_unreachable(tick, &finish.upstream),
        AttemptResult::Silent => outcomes::record_silence(tick, &finish.upstream),
        AttemptResult::Replaced => outcomes::record_replaced(tick, &finish.upstream),
    }
}

/// Returns the number of crashes during which a call's content was running.
pub(super) fn crash_count(tick: &Tick<'_>, waiting: &QueuedCall) -> u32 {
    let suspect = tick.tables.suspects.get(&waiting.place.digest);
    suspect.map_or(Suspect::EXCLUSIVE_RUN_CRASHES, |suspect| suspect.crashes)
}
