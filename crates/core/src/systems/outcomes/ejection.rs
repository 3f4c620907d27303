//! Ejects upstreams after consecutive failures and backs off from them.

use super::super::{Tick, placement};
use crate::ids::UpstreamName;
use crate::output::{CapacityDecision, Decision};
use crate::tables::{Pool, Timer};

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
    let is_short = !tick.settings.policy.share_places || is_only_ready(tick, upstream);
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    let until_us = row.health.back_off_full(tick.now_us, is_short);
    let timer = Timer::UpstreamReady(upstream.clone());
    tick.tables.timers.set(until_us, timer);
    tick.log(CapacityDecision::UpstreamFull {
        upstream: upstream.clone(),
        for_ms: (until_us - tick.now_us) / 1_000,
    });
    placement::refresh_availability(tick, upstream);
}

/// Returns whether a pool of an upstream has no other one that is ready and not full.
fn is_only_ready(tick: &Tick<'_>, upstream: &UpstreamName) -> bool {
    let tables = &*tick.tables;
    let is_ready = |name: &UpstreamName| {
        let row = tables.upstreams.get(name);
        row.is_some_and(|row| row.is_usable(tick.now_us) && tick.now_us >= row.health.full_until_us)
    };
    let Some(row) = tables.upstreams.get(upstream) else {
        return false;
    };
    let mut pools = row.pools.iter().filter_map(|key| tables.pools.get(key));
    let has_other = |pool: &Pool| {
        let mut names = pool.upstreams.iter();
        names.any(|name| name != upstream && is_ready(name))
    };
    pools.any(|pool| !has_other(pool))
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
