//! Refuses waiting calls that cannot be placed in time, so that their callers come back in time.
//!
//! The work before a call and the rate at which its pool places calls tell how long it waits. The
//! rate is the sum of what upstreams state and of places by measured call times.

use super::super::{Tick, rates};
use super::{owner, stated_rates, urgency};
use crate::ids::{AttemptId, CallId, PoolKey};
use crate::output::{Execution, PlacementDecision, RefusalKind};
use crate::tables::{Pool, QueuedCall, Upstream, Urgency, UrgencyClass};

/// Microseconds in which a rate of one thousandth of a call per second adds one call.
const US_PER_CALL_AT_MCALL: u64 = 1_000_000_000;

/// Shortest `retry-after`: a return before the next summaries would meet the same queue.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Part of the caller's time left that a `retry-after` may take; callers wait no longer.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// Part of a pool's rate that is left for any call: one in eight placements goes to the oldest.
const MIN_RATE_DIVISOR: u64 = 8;

/// Steps in thousandths between successive refusals, which spread any number of them evenly over a
/// span: the golden ratio.
const SPREAD_STEP_PERMILLE: u64 = 618;

/// What the usable upstreams of a pool do.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Throughput {
    /// Rate at which this VM may place calls, in thousandths of a call per second.
    pub own_mcalls_per_s: u64,
    /// Rate at which all VMs may, in thousandths of a call per second.
    pub total_mcalls_per_s: u64,
    /// Whether the rates come from statements and measured times only.
    pub is_measured: bool,
    /// Calls that the upstreams can run at the same time.
    pub places: u64,
    /// Calls that they run.
    pub running_calls: u64,
}

/// Why a call cannot be placed in time.
struct Verdict {
    urgency: Urgency,
    wait_us: u64,
    calls_before: u64,
}

/// Returns what the usable upstreams of a pool do.
pub(super) fn throughput(tick: &Tick<'_>, pool: &PoolKey) -> Throughput {
    let Some(pool) = tick.tables.pools.get(pool) else {
        return Throughput::default();
    };
    let mut sum = Throughput {
        is_measured: true,
        ..Throughput::default()
    };
    let competing_vms = 1 + tick.tables.peering.competing_vms;
    for name in &pool.upstreams {
        let row = tick.tables.upstreams.get(name);
        let Some(row) = row.filter(|row| row.is_usable(tick.now_us)) else {
            continue;
        };
        let places = u64::from(row.limit_calls(tick.settings.policy.learned_limit));
        sum.places += places;
        sum.running_calls += u64::from(row.running_calls());
        if let Some(own) = rates::expected_rate(tick, name) {
            sum.own_mcalls_per_s += own;
            sum.total_mcalls_per_s += own * competing_vms;
            continue;
        }
        let call_us = call_time_us(pool, row);
        sum.is_measured &= call_us.1;
        let mcalls_per_s = places * US_PER_CALL_AT_MCALL / call_us.0.max(1);
        sum.own_mcalls_per_s += mcalls_per_s / competing_vms;
        sum.total_mcalls_per_s += mcalls_per_s;
    }
    sum
}

/// Returns the expected time of a call on an upstream, and whether it is measured.
///
/// The mean over the calls that have ended in the pool gives the right sum also if upstreams differ
/// in speed: faster ones end more of them.
fn call_time_us(pool: &Pool, row: &Upstream) -> (u64, bool) {
    match pool.speed.mean_call_us() {
        Some(call_us) => (call_us, true),
        None => (row.mean_call_us, false),
    }
}

/// Returns the time in which a number of calls can be placed at a rate.
pub(super) fn wait_us(calls: u64, rate_mcalls_per_s: u64) -> u64 {
    calls.saturating_mul(US_PER_CALL_AT_MCALL) / rate_mcalls_per_s.max(1)
}

/// Refuses a waiting call if it states a deadline and cannot be placed in time.
pub(super) fn refuse_hopeless(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    let Some(verdict) = judge(tick, pool, attempt) else {
        return;
    };
    let row = tick.tables.pools.get_mut(pool);
    let Some(waiting) = row.and_then(|row| row.queue.remove(attempt)) else {
        return;
    };
    tick.log(PlacementDecision::NotPlaceable {
        call: attempt.call,
        pool: pool.clone(),
        class: verdict.urgency.class(tick.now_us),
        slack_ms: verdict.urgency.slack_us(tick.now_us) / 1_000,
        wait_ms: verdict.wait_us / 1_000,
        calls_before: verdict.calls_before,
    });
    owner::refuse(tick, waiting, RefusalKind::PoolBusy);
}

/// Returns why a waiting call cannot be placed in time, `None` if it may be.
fn judge(tick: &Tick<'_>, pool: &PoolKey, attempt: AttemptId) -> Option<Verdict> {
    let row = tick.tables.pools.get(pool)?;
    if !row.available.is_empty() {
        return None;
    }
    let waiting = row.queue.get(&attempt)?;
    let latest_us = latest_placement_us(tick, waiting)?;
    let urgency = urgency::urgency_of(tick, &waiting.place)?;
    let throughput = throughput(tick, pool);
    // Upstreams that are away for a moment are not the load that this answers.
    let is_half_free = 2 * throughput.running_calls < throughput.places;
    if !throughput.is_measured || throughput.total_mcalls_per_s == 0 || is_half_free {
        return None;
    }
    let calls_before = calls_before(tick, row, pool, attempt)?;
    let wait_us = wait_us(calls_before + 1, rate_for(tick, row, &urgency, &throughput));
    (tick.now_us.saturating_add(wait_us) > latest_us).then_some(Verdict {
        urgency,
        wait_us,
        calls_before,
    })
}

/// Returns the part of a pool's rate that the VMs that hear each other may count on.
fn usable_rate(tick: &Tick<'_>, throughput: &Throughput) -> u64 {
    let (reachable_vms, known_vms) = tick.tables.peering.usable_fraction();
    throughput.total_mcalls_per_s * reachable_vms / known_vms
}

/// Returns the part of a pool's rate that is left for a call by those that arrive while it waits and
/// go before it.
///
/// Callers are spread over the VMs, so that the arrivals at others are taken to be as many as here.
fn rate_for(tick: &Tick<'_>, row: &Pool, urgency: &Urgency, throughput: &Throughput) -> u64 {
    let class = urgency.class(tick.now_us);
    let arrivals = row
        .deadlines
        .arrivals_before(class, urgency.begins_program, tick.now_us);
    let reachable_vms = tick.tables.peering.sharing().reachable_vms;
    let usable = usable_rate(tick, throughput);
    let left = usable.saturating_sub(arrivals * reachable_vms);
    left.max(usable / MIN_RATE_DIVISOR)
}

/// Returns the time after which it is of no use to place a call that states a deadline; `None` if it
/// states none or may have run.
///
/// A call that begins a program is worth the wait only if the program can be on time with the waits
/// of the turns after it; without these, a burst would fill the pool with programs that all end late.
/// In the middle
/// of a program, earlier work would be lost, so that only the caller's own time limit counts.
fn latest_placement_us(tick: &Tick<'_>, waiting: &QueuedCall) -> Option<u64> {
    let place = &waiting.place;
    let call = tick.tables.calls.get(&place.attempt.call)?;
    let relay = call.relay.as_deref()?;
    relay.program_deadline_us?;
    let has_run = call.execution() != Execution::NotRun || relay.forwarded_tokens > 0;
    if has_run || place.only.is_some() || place.origin.is_some() {
        return None;
    }
    if !call.begins_program {
        return Some(relay.deadline_us);
    }
    let urgency = urgency::urgency_of(tick, place)?;
    let latest_us = urgency.latest_start_us().min(relay.deadline_us);
    Some(latest_us.saturating_sub(urgency::following_wait_us(tick, place)))
}

/// Returns the number of calls that are placed before a waiting one, over all VMs that are heard.
///
/// Calls of the same class at other VMs are taken to stand before it in the same proportion as those
/// of this VM.
fn calls_before(tick: &Tick<'_>, row: &Pool, pool: &PoolKey, attempt: AttemptId) -> Option<u64> {
    let rank = row.queue.rank(&attempt)?;
    let own_before = row.queue.calls_before(&rank);
    let count = |class| u64::from(row.queue.len_of_class(class));
    let timely = count(UrgencyClass::Timely);
    let others = tick.tables.waiting_elsewhere(pool);
    let elsewhere = if UrgencyClass::of_level(rank.attained) == UrgencyClass::Timely {
        proportion(others.timely, own_before, timely)
    } else {
        let late = row.queue.len() as u64 - timely;
        let late_before = own_before.saturating_sub(timely);
        others.timely + proportion(others.late, late_before, late)
    };
    Some(own_before + elsewhere)
}

/// Returns the part of `calls` that corresponds to `before` of `all` own calls.
fn proportion(calls: u64, before: u64, all: u64) -> u64 {
    calls * before.min(all) / all.max(1)
}

/// Returns when a refused caller should come back, and books a place for it.
///
/// Callers come back as places are expected: after the calls that wait and those that were refused
/// before. If that is more than a third of the caller's time left, the callers are spread over the
/// end of that third, so that those with less time come back earlier and no two at once.
pub(super) fn book_return_ms(tick: &mut Tick<'_>, id: CallId) -> Option<u64> {
    let now_us = tick.now_us;
    let call = tick.tables.calls.get(&id)?;
    let relay = call.relay.as_deref()?;
    let left_us = relay.deadline_us.saturating_sub(now_us);
    let program_left_us = relay.program_deadline_us?.saturating_sub(now_us);
    let left_us = match program_left_us {
        0 => left_us,
        program_left_us => left_us.min(program_left_us),
    };
    let longest_ms = (left_us / 1_000 / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER_MS);
    let pool = call.pool.clone();
    let throughput = throughput(tick, &pool);
    let rate_mcalls_per_s = usable_rate(tick, &throughput);
    let elsewhere = tick.tables.waiting_elsewhere(&pool).total();
    let row = tick.tables.pools.get_mut(&pool)?;
    let waiting = row.queue.len() as u64 + elsewhere;
    let free_us = now_us.saturating_add(wait_us(waiting, rate_mcalls_per_s));
    let from_us = row.deadlines.returns_until_us.max(free_us);
    // What was booked for callers that did not come back is forgotten after a caller's time.
    let until_us = from_us.saturating_add(wait_us(1, rate_mcalls_per_s));
    row.deadlines.returns_until_us = until_us.min(now_us.saturating_add(left_us));
    row.deadlines.returns += 1;
    let wait_ms = until_us.saturating_sub(now_us) / 1_000;
    if wait_ms <= longest_ms {
        return Some(wait_ms.max(MIN_RETRY_AFTER_MS));
    }
    let position_permille = row.deadlines.returns * SPREAD_STEP_PERMILLE % 1_000;
    let span_ms = (longest_ms - MIN_RETRY_AFTER_MS) / 2;
    Some(longest_ms - span_ms * position_permille / 1_000)
}

/// Refuses the waiting calls of a pool with stated rates that its upstreams cannot take in time.
pub(super) fn refuse_excess(tick: &mut Tick<'_>, pool: &PoolKey) {
    if !stated_rates::schedule_limited(tick, pool) {
        return;
    }
    let rate_mcalls_per_s = throughput(tick, pool).own_mcalls_per_s;
    while let Some(attempt) = find_excess(tick, pool, rate_mcalls_per_s) {
        let row = tick.tables.pools.get_mut(pool);
        let Some(waiting) = row.and_then(|row| row.queue.remove(attempt)) else {
            return;
        };
        owner::refuse(tick, waiting, RefusalKind::UpstreamsLimited);
    }
}

/// Returns the last waiting call in the order of refusal if the queue is too long for it.
fn find_excess(tick: &Tick<'_>, pool: &PoolKey, rate_mcalls_per_s: u64) -> Option<AttemptId> {
    let queue = &tick.tables.pools.get(pool)?.queue;
    let last = queue.first_to_refuse()?;
    let placed_us = tick.now_us + wait_us(queue.len() as u64, rate_mcalls_per_s);
    let latest_us = stated_rates::latest_start_us(tick, last)?;
    (placed_us > latest_us).then_some(last.place.attempt)
}
