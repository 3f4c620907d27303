//! Applies new views and configurations to placement.

use std::collections::BTreeMap;

use super::super::{Sender, Tick, outcomes};
use super::{availability, entry, finish, origins, owner, speeds};
use crate::ids::{AttemptId, CallId, PoolKey, UpstreamName, VmName};
use crate::message::{InFlight, PlacementMessage};
use crate::tables::{RunningAttempt, Stage};

/// Most attempts in one message, which keeps it under the size limit of messages between VMs.
const MAX_ATTEMPTS_PER_MESSAGE: usize = 500;

/// Rebuilds the sets of available upstreams after the upstreams of pools have changed.
pub(super) fn apply_config(tick: &mut Tick<'_>) {
    let tables = &mut *tick.tables;
    speeds::forget_unlisted(tables);
    for (_, row) in tables.upstreams.iter_mut() {
        row.pools.clear();
        row.open_load_permille = None;
    }
    for (key, pool) in tables.pools.iter_mut() {
        pool.available.clear();
        pool.ejected.retain(|name| pool.upstreams.contains(name));
        pool.reserved.retain(|name| pool.upstreams.contains(name));
        for name in &pool.upstreams {
            if let Some(row) = tables.upstreams.get_mut(name) {
                row.pools.push(key.clone());
            }
        }
    }
    for pool in pool_keys(tick) {
        origins::refuse_stranded(tick, &pool);
    }
    for name in upstream_names(tick) {
        availability::refresh_and_assign(tick, &name);
    }
}

/// Returns the keys of all pools.
fn pool_keys(tick: &Tick<'_>) -> Vec<PoolKey> {
    let rows = tick.tables.pools.iter();
    rows.map(|(key, _)| key.clone()).collect()
}

/// Returns the names of all upstreams.
fn upstream_names(tick: &Tick<'_>) -> Vec<UpstreamName> {
    let rows = tick.tables.upstreams.iter();
    rows.map(|(name, _)| name.clone()).collect()
}

/// Applies a new view: drops the state of pools that moved away and of VMs that
/// left, and reports the calls of this VM to the owners of their pools.
pub(super) fn apply_view(tick: &mut Tick<'_>) {
    tick.tables.placement_epoch = tick.tables.view.epoch;
    drop_waiting(tick);
    drop_running(tick);
    report_calls(tick);
    let finishing: Vec<AttemptId> = {
        let rows = tick.tables.finishing.iter();
        rows.map(|(attempt, _)| *attempt).collect()
    };
    for attempt in finishing {
        finish::resend_finish(tick, attempt);
    }
    for name in upstream_names(tick) {
        availability::refresh_and_assign(tick, &name);
    }
}

/// Returns whether this VM owns a pool and the entry VM is still a member.
fn is_tracked(tick: &Tick<'_>, pool: &PoolKey, vm: &VmName) -> bool {
    let view = &tick.tables.view;
    view.pool_owner(pool) == Some(&tick.settings.vm) && view.member(vm).is_some()
}

/// Removes waiting calls of pools that moved away and of VMs that left.
fn drop_waiting(tick: &mut Tick<'_>) {
    let stale: Vec<(PoolKey, AttemptId)> = tick
        .tables
        .pools
        .iter()
        .flat_map(|(key, pool)| pool.iter_waiting().map(move |waiting| (key, waiting)))
        .filter(|(key, waiting)| !is_tracked(tick, key, &waiting.vm))
        .map(|(key, waiting)| (key.clone(), waiting.place.attempt))
        .collect();
    for (key, attempt) in stale {
        if let Some(pool) = tick.tables.pools.get_mut(&key) {
            pool.remove_waiting(attempt);
        }
    }
}

/// Releases running attempts of pools that moved away and of VMs that left.
///
/// An upstream aborts the requests of a VM that left when its connections close.
fn drop_running(tick: &mut Tick<'_>) {
    let stale: Vec<AttemptId> = tick
        .tables
        .running
        .iter()
        .filter(|(_, running)| !is_tracked(tick, &running.pool, &running.vm))
        .map(|(attempt, _)| *attempt)
        .collect();
    for attempt in stale {
        if let Some(running) = tick.tables.running.remove(&attempt) {
            owner::release(tick, attempt, &running);
        }
    }
}

/// Reports running attempts to the owners of their pools and resends the requests of waiting ones.
fn report_calls(tick: &mut Tick<'_>) {
    let mut in_flight: BTreeMap<PoolKey, Vec<InFlight>> = BTreeMap::new();
    let mut waiting: Vec<CallId> = Vec::new();
    for (id, call) in tick.tables.calls.iter() {
        match (call.stage, &call.upstream) {
            (Stage::Running, Some(upstream)) => {
                let attempt = entry::in_flight_report(call, upstream.clone());
                in_flight
                    .entry(call.pool.clone())
                    .or_default()
                    .push(attempt);
            }
            (Stage::Place, _) if call.attempts > 0 => waiting.push(*id),
            _ => {}
        }
    }
    for (pool, attempts) in in_flight {
        let Some(owner) = tick.tables.view.pool_owner(&pool).cloned() else {
            continue;
        };
        for chunk in attempts.chunks(MAX_ATTEMPTS_PER_MESSAGE) {
            let message = PlacementMessage::InFlight {
                pool: pool.clone(),
                attempts: chunk.to_vec(),
            };
            tick.send(&owner, message);
        }
    }
    for id in waiting {
        entry::send_place(tick, id);
    }
}

/// Records the running attempts that an entry VM reports for a pool of this VM.
pub(super) fn record_in_flight(
    tick: &mut Tick<'_>,
    sender: &Sender,
    pool: &PoolKey,
    attempts: Vec<InFlight>,
) {
    if !is_tracked(tick, pool, &sender.vm) {
        return;
    }
    for in_flight in attempts {
        record_in_flight_attempt(tick, sender, pool, in_flight);
    }
}

/// Records a reported attempt, unless it is already recorded on the same upstream.
fn record_in_flight_attempt(
    tick: &mut Tick<'_>,
    sender: &Sender,
    pool: &PoolKey,
    in_flight: InFlight,
) {
    let attempt = in_flight.attempt;
    if let Some(row) = tick.tables.pools.get_mut(pool) {
        row.remove_waiting(attempt);
    }
    outcomes::raise_crash_count(tick, in_flight.digest, in_flight.crashes);
    let known = tick.tables.running.get(&attempt);
    if known.is_some_and(|running| running.upstream == in_flight.upstream) {
        return;
    }
    if let Some(running) = tick.tables.running.remove(&attempt) {
        owner::release(tick, attempt, &running);
        availability::refresh_availability(tick, &running.upstream);
    }
    if let Some(suspect) = tick.tables.suspects.get_mut(&in_flight.digest) {
        suspect.running += 1;
    }
    let running = RunningAttempt {
        upstream: in_flight.upstream.clone(),
        pool: pool.clone(),
        vm: sender.vm.clone(),
        account: in_flight.account,
        program: in_flight.program,
        digest: in_flight.digest,
        is_exclusive: false,
        placed_us: tick.now_us,
        prefill_wait_us: 0,
        expected_cached_tokens: 0,
        booked_service: 0,
        is_counted_in_crash: false,
    };
    if let Some(row) = tick.tables.upstreams.get_mut(&running.upstream) {
        row.attempts.insert(attempt);
    }
    availability::refresh_availability(tick, &in_flight.upstream);
    tick.tables.running.insert(attempt, running);
    owner::check_running(tick, attempt);
}
