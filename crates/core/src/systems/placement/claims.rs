//! Shares the places of upstreams between VMs that know each other's loads too late.
//!
//! A load is up to 300 ms old, so all VMs of a large fleet see a free place at the same time. Each VM
//! therefore places at most its share of the places that become free, by the number of its calls. It
//! does so whether or not calls wait elsewhere, since VMs that all see free places have no waiting
//! calls; only calls whose prefix is cached go to an upstream with ample room anyway. The places of VMs that are not heard are left to them. Small fleets place as before.

use super::super::Tick;
use super::{owner, speeds};
use crate::ids::{PoolKey, UpstreamName};
use crate::output::CapacityDecision;
use crate::tables::{Pool, Timer, Upstream, hash_name};

/// Period for which the shares of VMs are rounded: the interval of summaries in a large fleet.
const PERIOD_US: u64 = 300_000;

/// Largest fleet in which VMs may all choose the upstream with the least load.
const MAX_SMALL_FLEET_VMS: u64 = 16;

/// Shortest time between two log lines about the claims of a pool.
const LOG_INTERVAL_US: u64 = 1_000_000;

/// Calls that are placed for those expected to end, in percent.
///
/// VMs place independently, so the calls on a busy upstream vary by a third of its limit. With 80
/// VMs at 130% of the capacity, 115 left 82 of 1,000 places idle, and 130 left 47.
const ENDING_PERCENT: u64 = 130;

/// Load of an upstream, in percent of its limit, below which calls whose prefix it has cached need
/// no share of its places if no calls wait elsewhere.
const SHARED_LOAD_PERCENT: u32 = 70;

/// Shortest mean time of a call for which shares are computed.
const MIN_CALL_US: u64 = 1_000;

/// Thousandths, in which shares are computed before they are rounded.
const PERMILLE: u64 = 1_000;

/// This VM's share of the places of a pool that become free in a period.
#[derive(Debug, Clone, Copy)]
pub(super) struct Share {
    /// Calls of this VM that wait or are placed in the period.
    own_calls: u64,
    /// Calls of all VMs that wait or are placed in the period, as far as known.
    all_calls: u64,
    /// Whether calls wait elsewhere.
    is_contended: bool,
    /// The current period.
    period: u64,
    /// Salt with which this VM's shares are rounded in the period.
    salt: u64,
}

impl Share {
    /// Returns whether calls of the pool wait at other VMs.
    pub(super) fn is_contended(&self) -> bool {
        self.is_contended
    }

    /// Returns whether one more call may be placed on an upstream in this period.
    ///
    /// A call whose prefix is cached there needs no share while the upstream has ample room: the
    /// calls of different programs go to different upstreams, and reading the prefix again would
    /// cost more than a short queue.
    pub(super) fn allows(&self, tick: &Tick<'_>, name: &UpstreamName, is_cached: bool) -> bool {
        let row = tick.tables.upstreams.get(name);
        row.is_some_and(|row| {
            (is_cached && self.has_ample_room(tick, row)) || self.has_place(tick, name, row)
        })
    }

    /// Returns whether an upstream has so much room that VMs need not share it.
    fn has_ample_room(&self, tick: &Tick<'_>, row: &Upstream) -> bool {
        let limit_calls = row.limit_calls(tick.settings.policy.learned_limit);
        !self.is_contended && row.running_calls() * 100 < limit_calls * SHARED_LOAD_PERCENT
    }

    /// Compares this VM's placements of the period with its share of the places.
    fn has_place(&self, tick: &Tick<'_>, name: &UpstreamName, row: &Upstream) -> bool {
        let placed_calls = row.placed.in_period(self.period);
        let room_calls = room_calls(tick, name, row);
        let free_calls = room_calls.saturating_sub(row.running_calls());
        let place_calls = u64::from(free_calls + placed_calls);
        let share_permille = place_calls * self.own_calls * PERMILLE / self.all_calls.max(1);
        u64::from(placed_calls) < round(share_permille, name, self.salt)
    }
}

/// Returns whether VMs share places: so many place calls that they must not all choose the same
/// upstream.
pub(super) fn is_large_fleet(tick: &Tick<'_>) -> bool {
    let is_large = tick.tables.peering.known_vms > MAX_SMALL_FLEET_VMS;
    is_large && tick.settings.policy.share_places
}

/// Returns this VM's share of the places of a pool; `None` if it competes with no other VM.
pub(super) fn share(tick: &Tick<'_>, key: &PoolKey) -> Option<Share> {
    if !is_large_fleet(tick) {
        return None;
    }
    let pool = tick.tables.pools.get(key)?;
    let (period, salt) = current_period(tick);
    let (own_ending_calls, foreign_ending_calls) = ending_in_pool(tick, pool);
    let waiting_calls = tick.tables.waiting_elsewhere(key).total();
    let calls_elsewhere = waiting_calls + foreign_ending_calls;
    if calls_elsewhere == 0 {
        return None;
    }
    let placed_calls = u64::from(pool.placed.in_period(period)).max(own_ending_calls);
    let own_calls = pool.queue.len() as u64 + placed_calls;
    Some(Share {
        own_calls,
        all_calls: own_calls + calls_elsewhere,
        is_contended: waiting_calls > 0,
        period,
        salt,
    })
}

/// Returns the calls of this VM and of others that end in a period.
///
/// A VM is expected to place as many calls in a period as end there.
fn ending_in_pool(tick: &Tick<'_>, pool: &Pool) -> (u64, u64) {
    let names = pool.upstreams.iter();
    let rows = names.filter_map(|name| tick.tables.upstreams.get(name));
    let (own_calls, foreign_calls) = rows.fold((0, 0), |(own, foreign), row| {
        let own_calls = row.attempts.len() as u64;
        (own + own_calls, foreign + u64::from(row.foreign_calls))
    });
    let mean_call_us = speeds::pool_call_us(tick, pool).max(MIN_CALL_US);
    let ending = |calls: u64| (calls * PERIOD_US).div_ceil(mean_call_us);
    (ending(own_calls), ending(foreign_calls))
}

/// Returns how many of the calls that run on an upstream end in a period.
fn ending_calls(tick: &Tick<'_>, name: &UpstreamName, row: &Upstream, running_calls: u32) -> u64 {
    let mean_call_us = speeds::mean_call_us(tick, name, row);
    u64::from(running_calls) * PERIOD_US / mean_call_us.max(MIN_CALL_US)
}

/// Returns whether a waiting call may be placed now; if not, looks again in the next period.
pub(super) fn has_place(tick: &mut Tick<'_>, key: &PoolKey, share: Option<Share>) -> bool {
    let Some(share) = share else {
        return true;
    };
    let Some(pool) = tick.tables.pools.get(key) else {
        return false;
    };
    let open = || pool.available.iter().map(|(_, name)| name);
    let has_place = open().any(|name| share.allows(tick, name, false));
    let has_ample_room = open().any(|name| share.allows(tick, name, true));
    if let Some(pool) = tick.tables.pools.get_mut(key) {
        let waiting_calls = pool.queue.len();
        pool.claim_waiting_calls = if has_place { 0 } else { waiting_calls };
    }
    if has_place {
        return true;
    }
    schedule_period(tick);
    log_used_up(tick, key, share);
    has_ample_room
}

/// Returns the calls that an upstream may run at once as far as this VM decides.
///
/// In a large fleet, VMs that are known but not heard keep their part of the places.
pub(super) fn limit_calls(tick: &Tick<'_>, name: &UpstreamName, row: &Upstream) -> u32 {
    let limit_calls = row.limit_calls(tick.settings.policy.learned_limit);
    let sharing = tick.tables.peering.sharing();
    if sharing.reachable_vms >= sharing.known_vms || !is_large_fleet(tick) {
        return limit_calls;
    }
    let (_, salt) = current_period(tick);
    let part_permille = sharing.usable(u64::from(limit_calls) * PERMILLE);
    round(part_permille, name, salt) as u32
}

/// Returns the number of running calls, as far as known, up to which an upstream has room.
///
/// In a large fleet, the calls of other VMs that are expected to end until their next summaries
/// leave room, since the places of a busy upstream would else stay free until then.
pub(super) fn room_calls(tick: &Tick<'_>, name: &UpstreamName, row: &Upstream) -> u32 {
    let limit_calls = limit_calls(tick, name, row);
    if !is_large_fleet(tick) {
        return limit_calls;
    }
    let foreign_calls = row.foreign_calls.min(limit_calls);
    let ending_calls = ending_calls(tick, name, row, foreign_calls);
    limit_calls + (ending_calls * ENDING_PERCENT / 100) as u32
}

/// Counts a call that this VM has placed on an upstream.
pub(super) fn count_placed(tick: &mut Tick<'_>, key: &PoolKey, name: &UpstreamName) {
    let (period, _) = current_period(tick);
    if let Some(pool) = tick.tables.pools.get_mut(key) {
        pool.placed.count(period);
    }
    if let Some(row) = tick.tables.upstreams.get_mut(name) {
        row.placed.count(period);
    }
}

/// Looks at all waiting calls again when a period has begun.
pub(super) fn begin_period(tick: &mut Tick<'_>) {
    let sharing = tick.tables.peering.sharing();
    if sharing.reachable_vms < sharing.known_vms && is_large_fleet(tick) {
        let rows = tick.tables.upstreams.iter();
        let names: Vec<UpstreamName> = rows.map(|(name, _)| name.clone()).collect();
        for name in names {
            super::refresh_availability(tick, &name);
        }
        schedule_period(tick);
    }
    let pools = tick.tables.pools.iter();
    let waiting = pools.filter(|(_, pool)| !pool.queue.is_empty());
    let keys: Vec<PoolKey> = waiting.map(|(key, _)| key.clone()).collect();
    for key in keys {
        owner::assign(tick, &key);
    }
}

/// Schedules [`begin_period`] for the next period; a second request for it has no effect.
pub(crate) fn schedule_period(tick: &mut Tick<'_>) {
    let (period, _) = current_period(tick);
    let due_us = (period + 1) * PERIOD_US - phase_us(tick);
    tick.tables.timers.set(due_us, Timer::PlacesShared);
}

/// Returns the number of the current period and this VM's salt in it.
fn current_period(tick: &Tick<'_>) -> (u64, u64) {
    let period = (tick.now_us + phase_us(tick)) / PERIOD_US;
    (period, hash_name(tick.settings.vm.as_str(), period))
}

/// Returns the time by which this VM's periods begin earlier than those of others, so that not all
/// VMs claim places at the same time.
fn phase_us(tick: &Tick<'_>) -> u64 {
    hash_name(tick.settings.vm.as_str(), 0) % PERIOD_US
}

/// Rounds thousandths of a place to whole places so that the mean over periods is exact.
fn round(permille: u64, name: &UpstreamName, salt: u64) -> u64 {
    let draw_permille = hash_name(name.as_str(), salt) % PERMILLE;
    permille / PERMILLE + u64::from(draw_permille < permille % PERMILLE)
}

/// Logs that calls of a pool wait because this VM's share of the places is used up.
fn log_used_up(tick: &mut Tick<'_>, key: &PoolKey, share: Share) {
    let now_us = tick.now_us;
    let Some(pool) = tick.tables.pools.get_mut(key) else {
        return;
    };
    if now_us < pool.claim_logged_us + LOG_INTERVAL_US {
        return;
    }
    pool.claim_logged_us = now_us;
    tick.log(CapacityDecision::ClaimUsedUp {
        pool: key.clone(),
        own_calls: share.own_calls,
        all_calls: share.all_calls,
    });
}
