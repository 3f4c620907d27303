//! Tracks which upstreams of each pool have room and assigns waiting calls to them.

use std::collections::BTreeSet;

use super::super::{Tick, links, pacing, rates};
use super::{claims, owner, queue_order};
use crate::ids::{ContentDigest, PoolKey, UpstreamName};
use crate::tables::QueuedCall;

/// Updates an upstream in the sets of available upstreams of its pools from its current load.
pub(crate) fn refresh_availability(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let is_learned = tick.settings.policy.learned_limit;
    pacing::prepare(tick, upstream);
    let may_send = rates::may_send(tick, upstream)
        && pacing::may_send(tick, upstream)
        && links::can_reach(tick, upstream);
    let Some(row) = tick.tables.upstreams.get(upstream) else {
        return;
    };
    let room_calls = claims::room_calls(tick, upstream, row);
    let tables = &mut *tick.tables;
    let Some(row) = tables.upstreams.get_mut(upstream) else {
        return;
    };
    let limit_calls = u64::from(row.limit_calls(is_learned).max(1));
    let load_permille = u64::from(row.running_calls()) * 1_000 / limit_calls;
    let is_open = may_send && row.has_room(tick.now_us, room_calls);
    let open_load_permille = is_open.then_some(load_permille);
    if open_load_permille == row.open_load_permille {
        return;
    }
    for pool in &row.pools {
        let Some(pool) = tables.pools.get_mut(pool) else {
            continue;
        };
        if let Some(load) = row.open_load_permille {
            pool.available.remove(&(load, upstream.clone()));
        }
        if let Some(load) = open_load_permille {
            pool.available.insert((load, upstream.clone()));
        }
    }
    row.open_load_permille = open_load_permille;
}

/// Updates the availability of upstreams whose load at another VM has changed.
///
/// In a large fleet the waiting calls of a pool are assigned once for all of them: with 80 VMs, 260
/// summaries arrive in a second, and each changes the loads of several upstreams.
pub(crate) fn refresh_loads<'a>(
    tick: &mut Tick<'_>,
    upstreams: impl Iterator<Item = &'a UpstreamName>,
) {
    if !claims::is_large_fleet(tick) {
        for name in upstreams {
            refresh_and_assign(tick, name);
        }
        return;
    }
    let names: Vec<&UpstreamName> = upstreams.collect();
    let mut pools: BTreeSet<PoolKey> = BTreeSet::new();
    for name in &names {
        refresh_availability(tick, name);
        let row = tick.tables.upstreams.get(name);
        pools.extend(row.into_iter().flat_map(|row| row.pools.iter().cloned()));
    }
    for pool in &pools {
        owner::assign(tick, pool);
    }
    for name in names {
        schedule_if_waiting(tick, name);
    }
}

/// Updates the availability of an upstream and assigns waiting calls of its pools.
pub(crate) fn refresh_and_assign(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let Some(row) = tick.tables.upstreams.get(upstream) else {
        return;
    };
    let pools = row.pools.clone();
    if tick.now_us >= row.health.ejected_until_us {
        for pool in &pools {
            if let Some(pool) = tick.tables.pools.get_mut(pool) {
                pool.ejected.remove(upstream);
            }
        }
    }
    refresh_availability(tick, upstream);
    for pool in &pools {
        owner::assign(tick, pool);
    }
    schedule_if_waiting(tick, upstream);
}

/// Looks at an upstream again when its rate lets the next call through, if calls wait for it.
fn schedule_if_waiting(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let Some(row) = tick.tables.upstreams.get(upstream) else {
        return;
    };
    let has_waiting = |pool| {
        let row = tick.tables.pools.get(pool);
        row.is_some_and(|row| row.iter_waiting().next().is_some())
    };
    if row.pools.iter().any(has_waiting) {
        rates::schedule_ready(tick, upstream);
    }
}

/// Adds a call to the ordered queue of its pool.
pub(super) fn push(tick: &mut Tick<'_>, waiting: QueuedCall) {
    let lane = queue_order::lane_of(tick, &waiting.place.account);
    let rank = queue_order::compute_rank(tick, &waiting.place, waiting.arrived_us);
    let refusal = queue_order::refusal_order(tick, &waiting.place, &rank);
    let pool = waiting.place.pool.clone();
    if let Some(row) = tick.tables.pools.get_mut(&pool) {
        row.queue.push_ordered(lane, rank, refusal, waiting);
    }
}

/// Moves the calls that were held for a content back to the queues of all pools and assigns them.
///
/// Only few pools hold calls, and few contents are held, so that all pools are scanned.
pub(crate) fn requeue_held_everywhere(tick: &mut Tick<'_>, digest: &ContentDigest) {
    let pools = tick.tables.pools.iter();
    let holding: Vec<PoolKey> = pools
        .filter(|(_, row)| row.held.contains_key(digest))
        .map(|(key, _)| key.clone())
        .collect();
    for pool in &holding {
        requeue_held(tick, pool, digest);
        owner::assign(tick, pool);
    }
}

/// Moves the calls that were held for a content back to the queue.
pub(super) fn requeue_held(tick: &mut Tick<'_>, pool: &PoolKey, digest: &ContentDigest) {
    let Some(row) = tick.tables.pools.get_mut(pool) else {
        return;
    };
    for waiting in row.held.remove(digest).unwrap_or_default() {
        push(tick, waiting);
    }
}
