//! Keeps the queue of a pool as short as the rates that its upstreams have stated.
//!
//! While upstreams of a pool are limited, the rates tell how many of the waiting calls can be placed
//! in time. The others are refused at once, those that begin a program first, so that their callers
//! come back in time.

use super::super::{Tick, rates};
use super::{availability, owner, speeds};
use crate::ids::{AttemptId, PoolKey, UpstreamName};
use crate::message::Place;
use crate::output::RefusalKind;
use crate::tables::{QueuedCall, Upstream};

/// Microseconds in which a rate of one thousandth of a call per second adds one call.
const US_PER_CALL_AT_MCALL: u64 = 1_000_000_000;

/// Shortest and longest `retry-after` of a call that is refused because of the rates.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (150, 2_000);

/// Order in which waiting calls are refused, the greatest first: calls that no upstream runs yet
/// before those that are confined to one, then by priority and arrival.
type RefusalOrder = (bool, u64, u64, AttemptId);

/// Looks again at the upstreams of a pool whose rate was used up.
pub(super) fn refresh(tick: &mut Tick<'_>, pool: &PoolKey) {
    let limited = limited_upstreams(tick, pool);
    if !limited.is_empty() {
        tick.tables.peering.used_limited_us = tick.now_us;
    }
    for name in limited {
        availability::refresh_availability(tick, &name);
    }
}

/// Refuses the waiting calls of a pool that its upstreams cannot take in time.
pub(super) fn refuse_excess(tick: &mut Tick<'_>, pool: &PoolKey) {
    let limited = limited_upstreams(tick, pool);
    if limited.is_empty() {
        return;
    }
    for name in &limited {
        rates::schedule_ready(tick, name);
    }
    let rate_mcalls_per_s = expected_rate(tick, pool);
    while let Some(attempt) = find_excess(tick, pool, rate_mcalls_per_s) {
        let row = tick.tables.pools.get_mut(pool);
        let Some(waiting) = row.and_then(|row| row.queue.remove(attempt)) else {
            return;
        };
        owner::refuse(tick, waiting, RefusalKind::UpstreamsLimited);
    }
}

/// Returns the time after which the waiting calls of a pool have been placed.
pub(super) fn retry_after_ms(tick: &Tick<'_>, pool: &PoolKey) -> Option<u64> {
    let calls = 1 + tick.tables.pools.get(pool)?.queue.len() as u64;
    let wait_ms = wait_us(calls, expected_rate(tick, pool)) / 1_000;
    let (shortest_ms, longest_ms) = RETRY_AFTER_RANGE_MS;
    Some(wait_ms.clamp(shortest_ms, longest_ms))
}

/// Returns whether a call begins a program while an upstream of its pool is limited.
pub(super) fn comes_last(tick: &Tick<'_>, place: &Place) -> bool {
    let call = tick.tables.calls.get(&place.attempt.call);
    call.is_some_and(|call| call.begins_program) && !limited_upstreams(tick, &place.pool).is_empty()
}

/// Returns the last waiting call in the order of refusal if the queue is too long for it.
fn find_excess(tick: &Tick<'_>, pool: &PoolKey, rate_mcalls_per_s: u64) -> Option<AttemptId> {
    let queue = &tick.tables.pools.get(pool)?.queue;
    let waiting = queue.iter();
    let last = waiting.max_by_key(|waiting| refusal_order(tick, waiting))?;
    let placed_us = tick.now_us + wait_us(queue.len() as u64, rate_mcalls_per_s);
    (placed_us > latest_start_us(tick, last)?).then_some(last.place.attempt)
}

/// Returns the time after which it is of no use to place a waiting call.
///
/// A call that begins a program is worth the wait only if it can be on time.
fn latest_start_us(tick: &Tick<'_>, waiting: &QueuedCall) -> Option<u64> {
    let call = tick.tables.calls.get(&waiting.place.attempt.call)?;
    let relay = call.relay.as_ref()?;
    if call.begins_program {
        return Some(waiting.arrived_us + relay.route.objective_ms * 1_000);
    }
    Some(relay.deadline_us)
}

fn refusal_order(tick: &Tick<'_>, waiting: &QueuedCall) -> RefusalOrder {
    let place = &waiting.place;
    let is_confined = place.only.is_some() || place.origin.is_some();
    let call = tick.tables.calls.get(&place.attempt.call);
    let begins_program = call.is_some_and(|call| call.begins_program);
    let priority = 2 * place.priority.map_or(0, u64::from) + u64::from(begins_program);
    (!is_confined, priority, waiting.arrived_us, place.attempt)
}

/// Returns the rate at which this VM may place calls of a pool, in thousandths of a call per
/// second.
fn expected_rate(tick: &Tick<'_>, pool: &PoolKey) -> u64 {
    let pool = tick.tables.pools.get(pool);
    let names = pool.into_iter().flat_map(|pool| &pool.upstreams);
    let usable = names.filter_map(|name| {
        let row = tick.tables.upstreams.get(name)?;
        row.is_usable(tick.now_us).then_some((name, row))
    });
    let rates = usable.map(|(name, row)| {
        rates::expected_rate(tick, name).unwrap_or_else(|| expected_throughput(tick, row))
    });
    rates.sum()
}

/// Returns this VM's part of the rate at which an upstream without a limit ends calls when it is
/// full, in thousandths of a call per second.
fn expected_throughput(tick: &Tick<'_>, row: &Upstream) -> u64 {
    let calls = u64::from(row.limit_calls(tick.settings.policy.learned_limit));
    let mean_call_us = speeds::mean_call_us(tick, &row.config.name, row);
    let rate_mcalls_per_s = calls * US_PER_CALL_AT_MCALL / mean_call_us.max(1);
    rate_mcalls_per_s / (1 + tick.tables.peering.competing_vms)
}

/// Returns the time in which a number of calls can be placed at a rate.
fn wait_us(calls: u64, rate_mcalls_per_s: u64) -> u64 {
    calls * US_PER_CALL_AT_MCALL / rate_mcalls_per_s.max(1)
}

/// Returns the upstreams of a pool that have stated a rate.
fn limited_upstreams(tick: &Tick<'_>, pool: &PoolKey) -> Vec<UpstreamName> {
    if tick.tables.upstream_rates.is_empty() {
        return Vec::new();
    }
    let pool = tick.tables.pools.get(pool);
    let names = pool.into_iter().flat_map(|pool| &pool.upstreams);
    names
        .filter(|name| rates::is_limited(tick, name))
        .cloned()
        .collect()
}
