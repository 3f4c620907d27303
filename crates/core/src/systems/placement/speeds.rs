//! Speeds of upstreams, learned from the calls of all VMs.
//!
//! One VM of a large fleet has some 10 calls a second for dozens of upstreams, too few to notice
//! one that is slow for some seconds. VMs therefore report totals of their calls to each other.

use super::super::Tick;
use crate::config::Coordination;
use crate::ids::{UpstreamName, VmName};
use crate::message::UpstreamReport;
use crate::tables::{Pool, Speed, SpeedMeans, SpeedSample, Tables, Upstream};

/// Expected time of a call before the first one has ended.
const INITIAL_CALL_US: u64 = 1_000_000;

/// Shortest time between two reports about an upstream.
const REPORT_INTERVAL_US: u64 = 1_000_000;

/// Most reports in a summary, the oldest first.
///
/// Bytes between VMs are expensive, and in a large fleet each upstream has calls of many VMs.
const MAX_REPORTS: usize = 4;

/// Time of a call, in percent of the mean of the pool, up to which an upstream is no slower.
///
/// Calls differ, and upstreams of about the same speed should share them by load.
const SLOWER_PERCENT: u64 = 130;

/// Factor by which an upstream is slower than its pool to count as slow.
const SLOW_FACTOR: u64 = 2;

/// Returns whether VMs learn speeds from each other.
fn is_enabled(tick: &Tick<'_>) -> bool {
    tick.settings.coordination == Coordination::Peers && tick.settings.policy.share_places
}

/// Returns the expected time of a call on an upstream.
///
/// It is the mean of all VMs, before the first call that of the pool, and of own calls if VMs do
/// not report to each other.
pub(super) fn mean_call_us(tick: &Tick<'_>, name: &UpstreamName, row: &Upstream) -> u64 {
    if !is_enabled(tick) {
        return row.mean_call_us;
    }
    let now_us = tick.now_us;
    let speed = tick.tables.speeds.get(name);
    let known_us = speed.and_then(|speed| speed.means.call_us(now_us));
    let of_pool = || pool_means(tick.tables, row)?.call_us(now_us);
    known_us.or_else(of_pool).unwrap_or(row.mean_call_us)
}

/// Returns the expected time of a call of a pool.
pub(super) fn pool_call_us(tick: &Tick<'_>, pool: &Pool) -> u64 {
    let known_us = pool.speed_means.call_us(tick.now_us);
    known_us.unwrap_or(INITIAL_CALL_US)
}

/// Returns the expected time in which an upstream reads a prompt token.
pub(super) fn prefill_ns_per_token(tick: &Tick<'_>, name: &UpstreamName, row: &Upstream) -> u64 {
    if !is_enabled(tick) {
        return row.prefill_ns_per_token;
    }
    let now_us = tick.now_us;
    let speed = tick.tables.speeds.get(name);
    let known_ns = speed.and_then(|speed| speed.means.prefill_ns_per_token(now_us));
    let of_pool = || pool_means(tick.tables, row)?.prefill_ns_per_token(now_us);
    known_ns
        .or_else(of_pool)
        .unwrap_or(row.prefill_ns_per_token)
}

/// Returns by how much a call takes longer on an upstream than on the mean of its pool; 0 if the
/// difference is small.
pub(super) fn slowness_us(tick: &Tick<'_>, row: &Upstream) -> u64 {
    let speed = tick.tables.speeds.get(&row.config.name);
    let call_us = speed.and_then(|speed| speed.means.call_us(tick.now_us));
    let pool_us = pool_means(tick.tables, row).and_then(SpeedMeans::long_call_us);
    match (call_us, pool_us) {
        (Some(call_us), Some(pool_us)) if call_us * 100 > pool_us * SLOWER_PERCENT => {
            call_us - pool_us
        }
        _ => 0,
    }
}

/// Returns the number of upstreams that are far slower than their pools at present.
pub(crate) fn count_slow(tables: &Tables, now_us: u64) -> usize {
    let is_slow = |name: &UpstreamName, speed: &Speed| {
        let call_us = speed.means.call_us(now_us)?;
        let row = tables.upstreams.get(name)?;
        let pool_us = pool_means(tables, row)?.long_call_us()?;
        Some(call_us > SLOW_FACTOR * pool_us)
    };
    let rows = tables.speeds.iter();
    rows.filter(|(name, speed)| is_slow(name, speed) == Some(true))
        .count()
}

/// Records a complete call of this VM.
pub(super) fn record_own(tick: &mut Tick<'_>, name: &UpstreamName, sample: SpeedSample) {
    if !is_enabled(tick) {
        return;
    }
    let Some(speed) = speed_of(tick.tables, name) else {
        return;
    };
    let own = &mut speed.own;
    own.responses += sample.calls;
    own.busy_us += sample.busy_us;
    own.read_tokens += sample.read_tokens;
    own.read_us += sample.read_us;
    speed.is_changed = true;
    add_sample(tick, name, sample);
}

/// Records that an upstream has rejected a call of this VM because it was full.
pub(super) fn record_rejection(tick: &mut Tick<'_>, name: &UpstreamName) {
    if !is_enabled(tick) {
        return;
    }
    if let Some(speed) = speed_of(tick.tables, name) {
        speed.own.rejections += 1;
        speed.is_changed = true;
    }
}

/// Returns the reports that are due, and marks them as sent.
pub(crate) fn take_reports(tables: &mut Tables, now_us: u64) -> Vec<UpstreamReport> {
    let rows = tables.speeds.iter();
    let due = rows
        .filter(|(_, speed)| speed.is_changed && now_us >= speed.reported_us + REPORT_INTERVAL_US);
    let mut names: Vec<(u64, UpstreamName)> = due
        .map(|(name, speed)| (speed.reported_us, name.clone()))
        .collect();
    names.sort();
    names.truncate(MAX_REPORTS);
    let take = |(_, name): &(u64, UpstreamName)| {
        let speed = tables.speeds.get_mut(name)?;
        speed.reported_us = now_us;
        speed.is_changed = false;
        Some(speed.own.clone())
    };
    names.iter().filter_map(take).collect()
}

/// Adds the differences to the last totals that another VM has reported.
///
/// The first totals of a VM's process only begin the count; they may be of long ago.
pub(crate) fn apply_reports(tick: &mut Tick<'_>, vm: &VmName, reports: Vec<UpstreamReport>) {
    if !is_enabled(tick) {
        return;
    }
    for report in reports {
        let name = report.upstream.clone();
        let Some(row) = tick.tables.upstreams.get(&name) else {
            continue;
        };
        let is_present_process = row.config.started_unix_ms == report.started_unix_ms;
        let Some(peer) = tick.tables.peering.peers.get_mut(vm) else {
            return;
        };
        let previous = peer.reports.insert(name.clone(), report.clone());
        let Some(mut previous) = previous.filter(|_| is_present_process) else {
            continue;
        };
        if previous.started_unix_ms != report.started_unix_ms {
            previous = empty_report(&name, report.started_unix_ms);
        }
        add_sample(tick, &name, SpeedSample::between(&previous, &report));
    }
}

/// Forgets the speeds of upstreams that are not listed any more.
pub(super) fn forget_unlisted(tables: &mut Tables) {
    let upstreams = &tables.upstreams;
    tables.speeds.retain(|name, _| upstreams.contains_key(name));
    for (_, peer) in tables.peering.peers.iter_mut() {
        peer.reports.retain(|name, _| upstreams.contains_key(name));
    }
}

/// Adds calls to the means of an upstream and its pools.
fn add_sample(tick: &mut Tick<'_>, name: &UpstreamName, sample: SpeedSample) {
    let now_us = tick.now_us;
    if let Some(speed) = speed_of(tick.tables, name) {
        speed.means.add(sample, now_us);
    }
    let Some(row) = tick.tables.upstreams.get(name) else {
        return;
    };
    for key in &row.pools {
        if let Some(pool) = tick.tables.pools.get_mut(key) {
            pool.speed_means.add(sample, now_us);
        }
    }
}

/// Returns the row of the present process of an upstream.
fn speed_of<'a>(tables: &'a mut Tables, name: &UpstreamName) -> Option<&'a mut Speed> {
    let started_unix_ms = tables.upstreams.get(name)?.config.started_unix_ms;
    let new = || Speed::new(empty_report(name, started_unix_ms));
    let speed = tables.speeds.get_or_insert_with(name, new);
    if speed.own.started_unix_ms != started_unix_ms {
        *speed = new();
    }
    Some(speed)
}

/// Returns the means of the first pool of an upstream.
fn pool_means<'a>(tables: &'a Tables, row: &Upstream) -> Option<&'a SpeedMeans> {
    let pool = tables.pools.get(row.pools.first()?)?;
    Some(&pool.speed_means)
}

/// Returns totals of zero.
fn empty_report(name: &UpstreamName, started_unix_ms: u64) -> UpstreamReport {
    UpstreamReport {
        upstream: name.clone(),
        started_unix_ms,
        responses: 0,
        busy_us: 0,
        read_tokens: 0,
        read_us: 0,
        rejections: 0,
    }
}
