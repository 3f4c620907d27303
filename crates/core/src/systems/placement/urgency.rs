//! Determines how urgent waiting calls are, and follows changes while they wait.
//!
//! A pool orders its calls by deadlines while calls state them. Latest starts do not move, so that a
//! waiting call changes its rank only with its class; a timer of its own brings that about.

use super::super::Tick;
use super::{owner, refusal};
use crate::ids::{AttemptId, PoolKey};
use crate::message::Place;
use crate::tables::{Budget, Call, RelayState, Timer, Urgency, UrgencyClass};

/// Least program deadline that callers state, in percent of the time on idle upstreams.
///
/// Without this bound, programs shorter than the mean of their route would count as late from their
/// first call on.
const MIN_DEADLINE_PERCENT: u64 = 120;

/// Interval at which a waiting call is looked at again: news of other VMs come as often.
const REVIEW_US: u64 = 200_000;

/// Part of the interval for each waiting call, which bounds the work in a long queue.
const REVIEW_US_PER_CALL: u64 = 50;

/// Records whether a call that is about to wait states a deadline, and for programs the time that
/// the turns after it are expected to take.
pub(super) fn record_call(tick: &mut Tick<'_>, place: &Place) {
    let tables = &mut *tick.tables;
    let call = tables.calls.get(&place.attempt.call);
    let Some(relay) = call.and_then(|call| call.relay.as_deref()) else {
        return;
    };
    let Some(pool) = tables.pools.get_mut(&place.pool) else {
        return;
    };
    if relay.program_deadline_us.is_some() {
        pool.deadlines.record_deadline(tick.now_us);
    }
    if relay.turn_number == 0 {
        return;
    }
    let turns = tables.route_turns.get(&relay.route.name);
    let mturns = turns.map_or(0, |turns| turns.following_mturns(relay.turn_number));
    let following_us = mturns * pool.speed.mean_call_us().unwrap_or(0) / 1_000;
    let program = relay.program.as_ref();
    if let Some(row) = program.and_then(|program| tables.budgets.get_mut(program)) {
        row.following_us = following_us;
    }
}

/// Returns whether the calls of a pool are ordered by deadlines.
pub(super) fn is_ordered(tick: &Tick<'_>, pool: &PoolKey) -> bool {
    let row = tick.tables.pools.get(pool);
    row.is_some_and(|row| row.deadlines.is_active(tick.now_us))
}

/// Returns the urgency of a call if its pool orders calls by deadlines.
pub(super) fn urgency_of(tick: &Tick<'_>, place: &Place) -> Option<Urgency> {
    let pool = tick.tables.pools.get(&place.pool)?;
    if !pool.deadlines.is_active(tick.now_us) {
        return None;
    }
    let call = tick.tables.calls.get(&place.attempt.call)?;
    let relay = call.relay.as_deref()?;
    let program = relay.program.as_ref();
    let program = program.and_then(|program| tick.tables.budgets.get(program));
    let objective_us = relay.route.objective_ms * 1_000;
    let due_us = relay
        .program_deadline_us
        .unwrap_or(call.arrived_us + objective_us);
    let since_us = first_seen_us(call, relay, program);
    let own_us = pool
        .speed
        .expected_us(place.prompt_tokens, relay.expected_answer_tokens);
    let total_us = due_us.saturating_sub(since_us);
    let idle_us = total_us.saturating_sub(objective_us) * 100 / MIN_DEADLINE_PERCENT;
    let following_us = program.map_or(0, |program| program.following_us);
    let following_us = match relay.program_deadline_us {
        Some(_) => following_us.min(idle_us.saturating_sub(own_us)),
        None => 0,
    };
    Some(Urgency {
        due_us,
        credit_until_us: match total_us {
            // The deadline had passed before this VM saw the program.
            0 => u64::MAX,
            total_us => due_us.saturating_add(total_us),
        },
        expected_us: own_us.saturating_add(following_us),
        priority: relay.priority,
        begins_program: call.begins_program,
    })
}

/// Returns the time at which the program of a call was first seen, as far as known.
fn first_seen_us(call: &Call, relay: &RelayState, program: Option<&Budget>) -> u64 {
    match (relay.program_deadline_us, program) {
        (Some(_), Some(program)) => program.first_seen_us.min(call.arrived_us),
        _ => call.arrived_us,
    }
}

/// Counts a call that has been ranked among the arrivals that go before others.
pub(super) fn count_arrival(tick: &mut Tick<'_>, place: &Place) {
    let Some(urgency) = urgency_of(tick, place) else {
        return;
    };
    let now_us = tick.now_us;
    if urgency.class(now_us) == UrgencyClass::Timely
        && let Some(row) = tick.tables.pools.get_mut(&place.pool)
    {
        let begins_program = urgency.begins_program;
        row.deadlines.count_timely(begins_program, now_us);
    }
}

/// Counts a placement, and records the wait of a call whose program has begun.
pub(super) fn record_placement(tick: &mut Tick<'_>, place: &Place, arrived_us: u64) {
    let tables = &mut *tick.tables;
    let call = tables.calls.get(&place.attempt.call);
    let has_begun = call.is_some_and(|call| call.has_budget() && !call.begins_program);
    let Some(pool) = tables.pools.get_mut(&place.pool) else {
        return;
    };
    pool.deadlines.count_placement();
    if has_begun {
        let wait_us = tick.now_us.saturating_sub(arrived_us);
        pool.deadlines.record_wait(wait_us);
    }
}

/// Returns the time for which the turns that follow a call are expected to wait, as such turns have
/// waited lately.
pub(super) fn following_wait_us(tick: &Tick<'_>, place: &Place) -> u64 {
    let wait_us = || {
        let pool = tick.tables.pools.get(&place.pool)?;
        let call = tick.tables.calls.get(&place.attempt.call)?;
        let program = call.relay.as_deref()?.program.as_ref()?;
        let following_us = tick.tables.budgets.get(program)?.following_us;
        let turns_permille = following_us * 1_000 / pool.speed.mean_call_us()?;
        Some(turns_permille * pool.deadlines.begun_wait_us() / 1_000)
    };
    wait_us().unwrap_or(0)
}

/// Returns whether this VM leaves the free places of a pool to timely calls at other VMs.
///
/// A place that becomes free is known at once only to the VM whose call has ended. Without this, a
/// VM would give the places that it has to its late calls while timely ones wait elsewhere.
pub(super) fn yields(tick: &mut Tick<'_>, pool: &PoolKey) -> bool {
    let now_us = tick.now_us;
    let timely_elsewhere = tick.tables.waiting_elsewhere(pool).timely;
    let Some(row) = tick.tables.pools.get_mut(pool) else {
        return false;
    };
    if timely_elsewhere == 0 || row.available.is_empty() || !row.deadlines.is_active(now_us) {
        row.deadlines.end_yield();
        return false;
    }
    row.deadlines.begin_yield(now_us);
    row.deadlines.yields(now_us)
}

/// Returns whether a waiting call cannot be on time any more.
pub(super) fn is_late(tick: &Tick<'_>, pool: &PoolKey, attempt: AttemptId) -> bool {
    let row = tick.tables.pools.get(pool);
    let rank = row.and_then(|row| row.queue.rank(&attempt));
    rank.is_some_and(|rank| UrgencyClass::of_level(rank.attained) != UrgencyClass::Timely)
}

/// Counts a place that becomes free as given to another VM, if this one has late calls only.
///
/// So also a VM that leaves its places to others gives one in eight to its oldest call.
pub(super) fn count_yielded_place(tick: &mut Tick<'_>, pool: &PoolKey) {
    let timely_elsewhere = tick.tables.waiting_elsewhere(pool).timely;
    let Some(row) = tick.tables.pools.get_mut(pool) else {
        return;
    };
    let is_late_only = row.queue.len_of_class(UrgencyClass::Timely) == 0;
    let has_turn = row.deadlines.is_turn_of_oldest(tick.now_us);
    if timely_elsewhere > 0 && is_late_only && !row.queue.is_empty() && !has_turn {
        row.deadlines.count_placement();
    }
}

/// Schedules the next look at a waiting call of a pool that orders calls by deadlines.
pub(super) fn schedule_review(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    let Some(row) = tick.tables.pools.get(pool) else {
        return;
    };
    let Some(waiting) = row.queue.get(&attempt) else {
        return;
    };
    let Some(urgency) = urgency_of(tick, &waiting.place) else {
        return;
    };
    let interval_us = REVIEW_US.max(REVIEW_US_PER_CALL * row.queue.len() as u64);
    let review_us = tick.now_us + interval_us;
    let change_us = urgency.next_change_us(tick.now_us);
    let due_us = change_us.map_or(review_us, |change_us| change_us.min(review_us));
    let timer = Timer::QueueReview(pool.clone(), attempt);
    tick.tables.timers.set(due_us, timer);
}

/// Ranks a waiting call anew, and refuses it if it cannot be placed in time any more.
pub(super) fn review(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    let waiting = tick.tables.pools.get(pool);
    let Some(waiting) = waiting.and_then(|row| row.queue.get(&attempt)) else {
        return;
    };
    if let Some(urgency) = urgency_of(tick, &waiting.place) {
        let rank = urgency.rank(tick.now_us, attempt);
        if let Some(row) = tick.tables.pools.get_mut(pool) {
            row.queue.rerank(rank);
        }
    }
    owner::assign(tick, pool);
    refusal::refuse_hopeless(tick, pool, attempt);
    schedule_review(tick, pool, attempt);
}
