//! Ejects upstreams after consecutive failures and backs off from them.

use super::super::{Tick, placement};
use crate::ids::UpstreamName;
use crate::output::Decision;
use crate::tables::Timer;

/// Counts a failure of an upstream and ejects it after too many consecutive ones.
pub(crate) fn record_failure(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    if !row.health.record_failure() {
        return;
    }
    let failures = row.health.failures;
    if !may_eject(tick, upstream) {
        tick.log(Decision::NotEjected {
            upstream: upstream.clone(),
            failures,
        });
        return;
    }
    eject(tick, upstream, failures);
}

/// Sends no calls to a full upstream until some of its calls may have ended.
pub(crate) fn back_off_full(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    let until_us = row.health.back_off_full(tick.now_us);
    let timer = Timer::UpstreamReady(upstream.clone());
    tick.tables.timers.set(until_us, timer);
    placement::refresh_availability(tick, upstream);
}

/// Sends no calls to an upstream during its backoff.
pub(super) fn back_off(tick: &mut Tick<'_>, upstream: &UpstreamName) {
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    let until_us = row.health.back_off(tick.now_us);
    let timer = Timer::UpstreamReady(upstream.clone());
    tick.tables.timers.set(until_us, timer);
    placement::refresh_availability(tick, upstream);
}

/// Returns whether at most half of each pool would be ejected after one more ejection.
fn may_eject(tick: &Tick<'_>, upstream: &UpstreamName) -> bool {
    let Some(row) = tick.tables.upstreams.get(upstream) else {
        return false;
    };
    row.pools.iter().all(|key| {
        tick.tables.pools.get(key).is_some_and(|pool| {
            let others = pool.ejected.len() - usize::from(pool.ejected.contains(upstream));
            (others + 1) * 2 <= pool.upstreams.len()
        })
    })
}

/// Ejects an upstream from its pools and schedules its return.
fn eject(tick: &mut Tick<'_>, upstream: &UpstreamName, failures: u32) {
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    let ejection_us = row.health.eject(tick.now_us);
    for pool in &row.pools {
        if let Some(pool) = tick.tables.pools.get_mut(pool) {
            pool.ejected.insert(upstream.clone());
        }
    }
    let timer = Timer::UpstreamReady(upstream.clone());
    tick.tables.timers.set(tick.now_us + ejection_us, timer);
    placement::refresh_availability(tick, upstream);
    tick.log(Decision::Ejected {
        upstream: upstream.clone(),
        for_ms: ejection_us / 1_000,
        failures,
    });
}
