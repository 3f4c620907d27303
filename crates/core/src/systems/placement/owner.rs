//! The pool owner's side of a placement.

use std::cmp::Reverse;

use smallvec::SmallVec;

use super::super::{Sender, Tick};
use crate::ids::{AttemptId, PoolKey, UpstreamName};
use crate::message::{Place, PlacementMessage};
use crate::output::PlacementReason;
use crate::tables::{Running, Waiting};

/// Puts a call in the queue of its pool.
pub(super) fn enqueue(tick: &mut Tick<'_>, sender: &Sender, place: Place) {
    let pool = place.pool.clone();
    let Some(row) = tick.tables.pools.get_mut(&pool) else {
        return;
    };
    row.queue.push_back(Waiting {
        vm: sender.vm.clone(),
        place,
        arrived_us: tick.now_us,
    });
    assign(tick, &pool);
}

/// Assigns waiting calls while an upstream has room.
pub(super) fn assign(tick: &mut Tick<'_>, pool: &PoolKey) {
    while let Some((waiting, mut ranked)) = next_assignment(tick, pool) {
        let upstream = ranked.remove(0);
        if let Some(row) = tick.tables.upstreams.get_mut(&upstream) {
            row.running_calls += 1;
        }
        let running = Running {
            upstream: upstream.clone(),
            pool: pool.clone(),
            vm: waiting.vm.clone(),
        };
        let attempt = waiting.place.attempt;
        tick.tables.running.insert(attempt, running);
        let placed = PlacementMessage::Placed {
            attempt,
            upstream,
            reason: PlacementReason::LeastRunning,
            runners_up: ranked.into_iter().take(2).collect(),
        };
        tick.send(&waiting.vm, placed);
    }
}

/// Takes the next call that can run and ranks the upstreams with room for it.
fn next_assignment(
    tick: &mut Tick<'_>,
    pool: &PoolKey,
) -> Option<(Waiting, SmallVec<[UpstreamName; 8]>)> {
    let tables = &mut *tick.tables;
    let row = tables.pools.get_mut(pool)?;
    let waiting = row.queue.front()?;
    let mut ranked: SmallVec<[(u32, UpstreamName); 8]> = row
        .upstreams
        .iter()
        .filter(|name| !waiting.place.avoid.contains(name))
        .filter_map(|name| {
            let upstream = tables.upstreams.get(name)?;
            let room = !upstream.config.leaving && upstream.running_calls < upstream.limit_calls;
            room.then(|| (upstream.running_calls, name.clone()))
        })
        .collect();
    if ranked.is_empty() {
        return None;
    }
    ranked.sort_by_key(|(running_calls, name)| (*running_calls, Reverse(name.clone())));
    let waiting = row.queue.pop_front()?;
    Some((waiting, ranked.into_iter().map(|(_, name)| name).collect()))
}

/// Removes a call from the queue, or frees its upstream if it was just placed.
pub(super) fn withdraw(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    if let Some(row) = tick.tables.pools.get_mut(pool) {
        row.queue.retain(|waiting| waiting.place.attempt != attempt);
    }
    finish(tick, pool, attempt);
}

/// Frees the upstream of an attempt that has ended.
pub(super) fn finish(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    let Some(running) = tick.tables.running.remove(&attempt) else {
        return;
    };
    if let Some(upstream) = tick.tables.upstreams.get_mut(&running.upstream) {
        upstream.running_calls = upstream.running_calls.saturating_sub(1);
    }
    assign(tick, pool);
}
