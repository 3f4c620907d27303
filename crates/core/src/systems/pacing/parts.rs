//! Deals the places of a window to the VMs.

use super::super::Tick;
use super::is_enabled;
use crate::ids::{AttemptId, PoolKey, UpstreamName};
use crate::tables::{Deal, INITIAL_WINDOW_CALLS, Peer, Upstream, hash_name};

/// Period in which the places of a window stay with the same VMs.
const DEAL_US: u64 = 300_000;

/// Time of a call in a pool in which none has been measured.
const DEFAULT_CALL_US: u64 = 1_000_000;

/// Time after the start of a process in which it paces all upstreams until it hears another VM:
/// three rounds of summaries in a large fleet. A VM that hears nobody for longer would leave its
/// upstreams idle.
const UNINFORMED_US: u64 = 1_000_000;

/// Returns whether the pace of an upstream lets this VM send it a call now.
pub(crate) fn may_send(tick: &Tick<'_>, name: &UpstreamName) -> bool {
    if !is_enabled(tick) {
        return true;
    }
    let Some(upstream) = tick.tables.upstreams.get(name) else {
        return true;
    };
    let own_calls = upstream.attempts.len() as u64;
    let row = tick.tables.pacing.rows.get(name);
    if let Some(episode) = row.and_then(|row| row.running()) {
        // Calls that are shorter than a period have ended before others report them.
        let is_short = mean_call_us(tick, upstream) < DEAL_US;
        // The limit of a cold upstream is shared already, and would be left unused by VMs that have
        // a call of it but no place.
        let is_cold = tick.tables.pacing.cold.contains(name);
        let part_calls = u64::from(episode.deal.part_calls).max(u64::from(is_cold));
        return own_calls < part_calls
            && (is_short || estimate_running(tick, upstream) < u64::from(episode.window_calls));
    }
    let began_us = tick.tables.source.started_us;
    !is_uninformed(tick)
        || own_calls < u64::from(deal(tick, name, (began_us, INITIAL_WINDOW_CALLS)).part_calls)
}

/// Returns whether this VM has restarted and has not been told yet which upstreams are paced.
pub(super) fn is_uninformed(tick: &Tick<'_>) -> bool {
    let started_us = tick.tables.source.started_us;
    if tick.settings.is_first_start || tick.now_us >= started_us + UNINFORMED_US {
        return false;
    }
    let mut peers = tick.tables.peering.peers.iter();
    peers.all(|(_, peer)| peer.last_heard_us.is_none())
}

/// Deals the places of an upstream's window again if something has changed.
pub(super) fn refresh_deal(tick: &mut Tick<'_>, name: &UpstreamName) {
    let row = tick.tables.pacing.rows.get(name);
    let Some(episode) = row.and_then(|row| row.running()) else {
        return;
    };
    let key = (episode.began_us, episode.window_calls);
    let dealt = episode.deal;
    let is_same = dealt.period == period_of(tick, key.0)
        && dealt.window_calls == key.1
        && dealt.vms == vms_of(tick);
    if is_same {
        return;
    }
    let next = deal(tick, name, key);
    let row = tick.tables.pacing.rows.get_mut(name);
    if let Some(episode) = row.and_then(|row| row.episode.as_mut()) {
        episode.deal = next;
    }
}

/// Returns the number of the present period.
///
/// It is counted from the event that all VMs have been told of, since their clocks differ. It is
/// never 0, so that a deal that was not made yet differs.
fn period_of(tick: &Tick<'_>, began_us: u64) -> u64 {
    1 + tick.now_us.saturating_sub(began_us) / DEAL_US
}

/// Returns the number of known VMs and of those that are heard.
fn vms_of(tick: &Tick<'_>) -> (u64, u64) {
    let sharing = tick.tables.peering.sharing();
    (sharing.known_vms, sharing.reachable_vms)
}

/// Deals the places of a window to the known VMs.
///
/// Each VM gets the same number of places. Those that are left over go to the VMs that hash highest
/// in this period. A VM that does not hear any other one cannot know of the places that are still in
/// use from earlier periods. It therefore takes places only once in the time of a call.
fn deal(tick: &Tick<'_>, name: &UpstreamName, (began_us, window_calls): (u64, u32)) -> Deal {
    let period = period_of(tick, began_us);
    let (known_vms, reachable_vms) = vms_of(tick);
    let me = &tick.settings.vm;
    let salt = hash_name(name.as_str(), period);
    let own = (hash_name(me.as_str(), salt), me);
    let is_known = |peer: &Peer| peer.is_reachable || !peer.is_leaving;
    let peers = tick.tables.peering.peers.iter();
    let before = peers
        .filter(|(vm, peer)| is_known(peer) && (hash_name(vm.as_str(), salt), *vm) > own)
        .count() as u64;
    let window = u64::from(window_calls);
    let part = window / known_vms + u64::from(before < window % known_vms);
    let is_skipped = reachable_vms == 1 && {
        let upstream = tick.tables.upstreams.get(name);
        let call_us = upstream.map_or(DEFAULT_CALL_US, |row| mean_call_us(tick, row));
        let periods = call_us.div_ceil(DEAL_US).max(1);
        !(period + hash_name(me.as_str(), 0) % periods).is_multiple_of(periods)
    };
    Deal {
        period,
        window_calls,
        vms: (known_vms, reachable_vms),
        part_calls: if is_skipped { 0 } else { part as u32 },
    }
}

/// Returns the mean time of a call in the pool of an upstream.
fn mean_call_us(tick: &Tick<'_>, upstream: &Upstream) -> u64 {
    let pool = upstream.pools.first();
    let pool = pool.and_then(|pool| tick.tables.pools.get(pool));
    let call_us = pool.map_or(0, |pool| pool.times.mean_call_us);
    match call_us {
        0 => DEFAULT_CALL_US,
        call_us => call_us,
    }
}

/// Estimates the calls that all known VMs run on an upstream; those that are not heard run as many
/// as the others on average.
fn estimate_running(tick: &Tick<'_>, upstream: &Upstream) -> u64 {
    let (known_vms, reachable_vms) = vms_of(tick);
    let foreign = u64::from(upstream.foreign_calls);
    let foreign = match reachable_vms {
        0 | 1 => foreign,
        heard => foreign * (known_vms - 1) / (heard - 1),
    };
    upstream.attempts.len() as u64 + foreign
}

/// Counts a call that waits although an upstream of its pool that is paced has room.
pub(crate) fn count_held_back(tick: &mut Tick<'_>, pool: &PoolKey, attempt: AttemptId) {
    if tick.tables.pacing.rows.is_empty() {
        return;
    }
    let Some(row) = tick.tables.pools.get(pool) else {
        return;
    };
    let is_learned = tick.settings.policy.learned_limit;
    let is_held = |name: &UpstreamName| {
        let upstream = tick.tables.upstreams.get(name);
        let has_room =
            upstream.is_some_and(|row| row.has_room(tick.now_us, row.limit_calls(is_learned)));
        has_room && !may_send(tick, name)
    };
    if row.is_waiting(&attempt) && row.upstreams.iter().any(is_held) {
        tick.tables.pacing.held_back_calls += 1;
    }
}
