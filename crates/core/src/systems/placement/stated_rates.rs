//! Pools whose upstreams have stated rates: they wait for turns, and keep their queues short.
//!
//! While upstreams of a pool are limited, the rates tell how many of the waiting calls can be placed
//! in time. The others are refused at once ([`refusal`]), those that begin a program first.

use super::super::{Tick, rates};
use super::{availability, refusal};
use crate::ids::{PoolKey, UpstreamName};
use crate::message::Place;
use crate::tables::QueuedCall;

/// Shortest and longest `retry-after` of a call that is refused because of the rates.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (150, 2_000);

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

/// Schedules the next look at the limited upstreams of a pool; returns whether there are any.
pub(super) fn schedule_limited(tick: &mut Tick<'_>, pool: &PoolKey) -> bool {
    let limited = limited_upstreams(tick, pool);
    for name in &limited {
        rates::schedule_ready(tick, name);
    }
    !limited.is_empty()
}

/// Returns the time after which the waiting calls of a pool have been placed.
pub(super) fn retry_after_ms(tick: &Tick<'_>, pool: &PoolKey) -> Option<u64> {
    let calls = 1 + tick.tables.pools.get(pool)?.queue.len() as u64;
    let rate_mcalls_per_s = refusal::throughput(tick, pool).own_mcalls_per_s;
    let wait_ms = refusal::wait_us(calls, rate_mcalls_per_s) / 1_000;
    let (shortest_ms, longest_ms) = RETRY_AFTER_RANGE_MS;
    Some(wait_ms.clamp(shortest_ms, longest_ms))
}

/// Returns whether a call begins a program while an upstream of its pool is limited.
pub(super) fn comes_last(tick: &Tick<'_>, place: &Place) -> bool {
    begins_program(tick, place) && !limited_upstreams(tick, &place.pool).is_empty()
}

/// Returns whether a call begins a program.
pub(super) fn begins_program(tick: &Tick<'_>, place: &Place) -> bool {
    let call = tick.tables.calls.get(&place.attempt.call);
    call.is_some_and(|call| call.begins_program)
}

/// Returns the time after which it is of no use to place a waiting call.
///
/// A call that begins a program is worth the wait only if it can be on time.
pub(super) fn latest_start_us(tick: &Tick<'_>, waiting: &QueuedCall) -> Option<u64> {
    let call = tick.tables.calls.get(&waiting.place.attempt.call)?;
    let relay = call.relay.as_ref()?;
    if call.begins_program {
        return Some(waiting.arrived_us + relay.route.objective_ms * 1_000);
    }
    Some(relay.deadline_us)
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
