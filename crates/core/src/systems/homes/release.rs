//! Release of the memory that engines hold for programs.

use super::super::Tick;
use super::backoff_us;
use crate::ids::{PoolKey, ProgramKey, UpstreamName};
use crate::output::{Decision, Output};
use crate::tables::{MAX_SERVED, Release, Timer};

/// Longest delay between two sends of a release.
const MAX_RELEASE_BACKOFF_MS: u64 = 30_000;

/// Records upstreams that may hold memory of a program.
///
/// Above `MAX_SERVED` upstreams, the memory at the oldest one is released.
pub(super) fn record_upstreams(tick: &mut Tick<'_>, key: &ProgramKey, upstreams: &[UpstreamName]) {
    for upstream in upstreams {
        let Some(program) = tick.tables.programs.get_mut(key) else {
            return;
        };
        program.served.retain(|other| other != upstream);
        program.served.push(upstream.clone());
        if program.served.len() > MAX_SERVED {
            let oldest = program.served.remove(0);
            program.served.shrink_to_fit();
            let generation = program.generation;
            release(tick, oldest, key.clone(), generation);
        }
    }
}

/// Records a pool in which an unknown upstream may hold memory of a program.
pub(super) fn record_unknown_pool(tick: &mut Tick<'_>, key: &ProgramKey, pool: PoolKey) {
    if let Some(program) = tick.tables.programs.get_mut(key)
        && !program.unknown_pools.contains(&pool)
    {
        program.unknown_pools.reserve_exact(1);
        program.unknown_pools.push(pool);
    }
}

/// Releases all engine memory of a program.
///
/// This covers each upstream of the pools in which the upstream is unknown.
pub(super) fn release_all(tick: &mut Tick<'_>, key: &ProgramKey) {
    let Some(program) = tick.tables.programs.get_mut(key) else {
        return;
    };
    let generation = program.generation;
    let mut upstreams = Vec::from_iter(std::mem::take(&mut program.served));
    for pool in std::mem::take(&mut program.unknown_pools) {
        let pool = tick.tables.pools.get(&pool);
        upstreams.extend(pool.into_iter().flat_map(|pool| pool.upstreams.clone()));
    }
    upstreams.sort();
    upstreams.dedup();
    for upstream in upstreams {
        release(tick, upstream, key.clone(), generation);
    }
}

/// Starts the release of the memory of one generation of a program at one upstream.
pub(super) fn release(
    tick: &mut Tick<'_>,
    upstream: UpstreamName,
    program: ProgramKey,
    generation: u64,
) {
    tick.log(Decision::MemoryReleased {
        program: program.clone(),
        generation,
        upstream: upstream.clone(),
    });
    let release = Release {
        upstream,
        program,
        generation,
    };
    tick.tables.homes.releases.insert(release.clone(), 0);
    send(tick, release);
}

/// Sends a release and schedules the next attempt; drops it if the upstream is not configured.
pub(super) fn send(tick: &mut Tick<'_>, release: Release) {
    if !tick.tables.upstreams.contains_key(&release.upstream) {
        tick.tables.homes.releases.remove(&release);
        return;
    }
    let Some(tries) = tick.tables.homes.releases.get_mut(&release) else {
        return;
    };
    *tries += 1;
    let due_us = tick.now_us + backoff_us(*tries + 2, MAX_RELEASE_BACKOFF_MS);
    tick.outputs.push(Output::ReleaseMemory {
        upstream: release.upstream.clone(),
        program: release.program.clone(),
        generation: release.generation,
    });
    tick.tables.timers.set(due_us, Timer::ReleaseRetry(release));
}
