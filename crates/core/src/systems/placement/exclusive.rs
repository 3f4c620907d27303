//! Runs suspect contents exclusively: alone on an upstream.
//!
//! A content that was running during two crashes runs alone, so that another
//! crash can be attributed to it.

use smallvec::SmallVec;

use super::super::{Tick, pacing, rates};
use super::selection::SelectedUpstream;
use super::{availability, owner, selection};
use crate::ids::{PoolKey, UpstreamName};
use crate::message::Place;
use crate::output::{PlacementReason, RefusalKind};
use crate::tables::QueuedCall;

/// Places exclusive calls while reserved upstreams are idle.
pub(super) fn assign(tick: &mut Tick<'_>, pool: &PoolKey) {
    while let Some(waiting) = take_ready(tick, pool) {
        start_exclusive(tick, pool, waiting);
    }
}

/// Removes and returns the first exclusive call if a reserved upstream is idle.
///
/// Reserves another upstream if needed. Calls in front that are quarantined
/// are refused; those that must be held or are no longer suspect are moved.
fn take_ready(tick: &mut Tick<'_>, pool: &PoolKey) -> Option<QueuedCall> {
    let row = tick.tables.pools.get(pool)?;
    let waiting = row.exclusive.front()?;
    let digest = waiting.place.digest;
    if tick.tables.quarantine.contains_key(&digest) {
        let waiting = tick.tables.pools.get_mut(pool)?.exclusive.pop_front()?;
        owner::refuse(tick, waiting, RefusalKind::Quarantined);
        return take_ready(tick, pool);
    }
    let suspect = tick.tables.suspects.get(&digest).copied();
    let suspect = suspect.unwrap_or_default();
    if !suspect.must_run_exclusively() {
        // The content completed elsewhere and is no longer suspect.
        let waiting = tick.tables.pools.get_mut(pool)?.exclusive.pop_front()?;
        availability::push(tick, waiting);
        return take_ready(tick, pool);
    }
    if suspect.running > 0 || suspect.pending_examinations > 0 {
        let row = tick.tables.pools.get_mut(pool)?;
        let waiting = row.exclusive.pop_front()?;
        row.held.entry(digest).or_default().push_back(waiting);
        return take_ready(tick, pool);
    }
    let place = waiting.place.clone();
    let idle = find_idle_reserved(tick, pool, &place).or_else(|| {
        release_unfit(tick, pool, &place);
        reserve_upstream(tick, pool, &place);
        find_idle_reserved(tick, pool, &place)
    });
    idle?;
    tick.tables.pools.get_mut(pool)?.exclusive.pop_front()
}

/// Returns a usable reserved upstream that may run a call and runs no attempt of this VM.
fn find_idle_reserved(tick: &Tick<'_>, pool: &PoolKey, place: &Place) -> Option<UpstreamName> {
    let row = tick.tables.pools.get(pool)?;
    row.reserved
        .iter()
        .find(|name| {
            let upstream = tick.tables.upstreams.get(name);
            upstream.is_some_and(|row| {
                row.attempts.is_empty()
                    && row.is_usable(tick.now_us)
                    && selection::may_use(tick, place, name)
                    && rates::may_send(tick, name)
                    && pacing::may_send(tick, name)
            })
        })
        .cloned()
}

/// Releases the reserved upstreams that run nothing and may not run the call that is next.
///
/// They would count against the limit of reservations without being of use to it.
fn release_unfit(tick: &mut Tick<'_>, pool: &PoolKey, place: &Place) {
    let Some(row) = tick.tables.pools.get(pool) else {
        return;
    };
    let is_unfit = |name: &UpstreamName| {
        let row = tick.tables.upstreams.get(name);
        row.is_some_and(|row| row.attempts.is_empty()) && !selection::may_use(tick, place, name)
    };
    let unfit: SmallVec<[UpstreamName; 2]> = row
        .reserved
        .iter()
        .filter(|name| is_unfit(name))
        .cloned()
        .collect();
    for name in unfit {
        release(tick, pool, &name);
    }
}

/// Reserves one more upstream that may run a call, as far as calls need it and at most half of the
/// pool.
fn reserve_upstream(tick: &mut Tick<'_>, pool: &PoolKey, place: &Place) {
    let Some(row) = tick.tables.pools.get(pool) else {
        return;
    };
    let waiting = row.exclusive.len() + count_busy_reserved(&tick.tables.upstreams, row);
    let allowed = (row.upstreams.len() / 2).max(1).min(waiting);
    if row.reserved.len() >= allowed {
        return;
    }
    let mut available = row.available.iter().map(|(_, name)| name);
    let fitting = available.find(|name| selection::may_use(tick, place, name));
    let Some(name) = fitting.cloned() else {
        return;
    };
    if let Some(row) = tick.tables.pools.get_mut(pool) {
        row.reserved.insert(name.clone());
    }
    if let Some(upstream) = tick.tables.upstreams.get_mut(&name) {
        upstream.has_exclusive_call = true;
    }
    availability::refresh_availability(tick, &name);
}

/// Counts the reserved upstreams with running attempts.
fn count_busy_reserved(
    upstreams: &crate::tables::Table<UpstreamName, crate::tables::Upstream>,
    pool: &crate::tables::Pool,
) -> usize {
    pool.reserved
        .iter()
        .filter(|name| {
            let upstream = upstreams.get(name);
            upstream.is_some_and(|row| !row.attempts.is_empty())
        })
        .count()
}

/// Places a call alone on an idle reserved upstream.
fn start_exclusive(tick: &mut Tick<'_>, pool: &PoolKey, waiting: QueuedCall) {
    let Some(upstream) = find_idle_reserved(tick, pool, &waiting.place) else {
        return;
    };
    let crashes = owner::crash_count(tick, &waiting);
    let chosen = SelectedUpstream {
        upstream,
        reason: PlacementReason::Alone { crashes },
        runners_up: SmallVec::new(),
        cached_tokens: 0,
    };
    owner::place(tick, waiting, chosen, true);
}

/// Releases reserved upstreams that no exclusive call waits for or runs on.
pub(super) fn release_reservations(tick: &mut Tick<'_>, pool: &PoolKey) {
    let Some(row) = tick.tables.pools.get(pool) else {
        return;
    };
    if row.reserved.is_empty() || !row.exclusive.is_empty() {
        return;
    }
    let upstreams = &tick.tables.upstreams;
    let runs_exclusively = |name: &UpstreamName| {
        let attempts = upstreams.get(name).map(|row| &row.attempts);
        attempts.is_some_and(|attempts| {
            attempts
                .iter()
                .filter_map(|attempt| tick.tables.running.get(attempt))
                .any(|running| running.is_exclusive)
        })
    };
    let freed: SmallVec<[UpstreamName; 2]> = row
        .reserved
        .iter()
        .filter(|name| !runs_exclusively(name))
        .cloned()
        .collect();
    for name in freed {
        release(tick, pool, &name);
    }
}

/// Ends the reservation of an upstream.
fn release(tick: &mut Tick<'_>, pool: &PoolKey, name: &UpstreamName) {
    if let Some(row) = tick.tables.pools.get_mut(pool) {
        row.reserved.remove(name);
    }
    if let Some(upstream) = tick.tables.upstreams.get_mut(name) {
        upstream.has_exclusive_call = false;
    }
    availability::refresh_availability(tick, name);
}
