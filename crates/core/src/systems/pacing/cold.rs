//! Tells which upstreams are cold, and limits the calls to them.
//!
//! An upstream is cold if its entry in the list says so, if it has started or returned since the
//! list in force was read, or for the time that it has stated in a response. The limit is kept in
//! `rates::upstreams`.

use super::super::{Tick, rates};
use super::episodes;
use crate::ids::UpstreamName;
use crate::input::{MAX_DURATION_MS, UpstreamStatement};
use crate::output::PaceDecision;
use crate::tables::{ColdLimit, NCALLS_PER_CALL, Pace};

/// Billionths of a call, per second, in a thousandth of a call per second and one percent.
const NCALLS_PER_MCALL_PERCENT: u64 = 10_000;

/// Time in which an upstream writes into its entry that it is cold.
///
/// A list that was read earlier may still say that it is not.
const ENTRY_LAG_US: u64 = 1_000_000;

/// Records that an upstream has stated in a response how long it will be cold.
///
/// Other VMs learn of an upstream that has become cold again from the episode that begins with it.
pub(crate) fn record_cold_time(tick: &mut Tick<'_>, stated: &UpstreamStatement, cold_ms: u64) {
    let name = &stated.upstream;
    let Some(upstream) = tick.tables.upstreams.get(name) else {
        return;
    };
    let is_current = upstream.config.started_unix_ms == stated.started_unix_ms;
    if !is_current || upstream.cold_mcalls_per_s == 0 {
        return;
    }
    let was_cold = tick.tables.pacing.cold.contains(name);
    let until_us = tick.now_us + cold_ms.min(MAX_DURATION_MS) * 1_000;
    let row = tick
        .tables
        .pacing
        .rows
        .get_or_insert_with(name, Pace::default);
    row.cold_until_us = until_us;
    if cold_ms == 0 {
        row.event_us = None;
    } else if !was_cold {
        episodes::record_return(tick, name);
        tick.work.peers.announce = true;
    }
    update(tick, name);
}

/// Updates whether an upstream is cold.
pub(super) fn update(tick: &mut Tick<'_>, name: &UpstreamName) {
    let cold = limit(tick, name);
    let was_cold = tick.tables.pacing.cold.contains(name);
    rates::set_cold(tick, name, cold);
    if was_cold == cold.is_some() {
        return;
    }
    let upstream = name.clone();
    match cold {
        Some(cold) => {
            tick.tables.pacing.cold.insert(name.clone());
            super::schedule_review(tick);
            let mcalls_per_s = cold.mcalls_per_s;
            let decision = PaceDecision::ColdBegan {
                upstream,
                mcalls_per_s,
            };
            episodes::log(tick, name, decision);
        }
        None => {
            tick.tables.pacing.cold.remove(name);
            episodes::log(tick, name, PaceDecision::ColdEnded { upstream });
        }
    }
}

/// Returns the limit of an upstream that is cold.
fn limit(tick: &Tick<'_>, name: &UpstreamName) -> Option<ColdLimit> {
    let upstream = tick.tables.upstreams.get(name)?;
    let mcalls_per_s = upstream.cold_mcalls_per_s;
    let row = tick.tables.pacing.rows.get(name);
    let is_listed = upstream.config.cold_left_ms > 0;
    let is_cold = is_listed || row.is_some_and(|row| is_cold_since(tick, row));
    if mcalls_per_s == 0 || !is_cold {
        return None;
    }
    let percent = tick.settings.cold_overage_percent.saturating_sub(100);
    let slack_calls = tick.settings.cold_slack_calls;
    let overage_ncalls = mcalls_per_s
        .saturating_mul(percent)
        .saturating_mul(NCALLS_PER_MCALL_PERCENT);
    Some(ColdLimit {
        mcalls_per_s,
        phase_ncalls: phase_ncalls(tick),
        overage_ncalls: overage_ncalls.saturating_add(slack_calls.saturating_mul(NCALLS_PER_CALL)),
    })
}

/// Returns the level with which this VM begins, by its position by name among the known VMs.
fn phase_ncalls(tick: &Tick<'_>) -> u64 {
    let peering = &tick.tables.peering;
    let peers = peering.peers.iter();
    let before = peers.filter(|(vm, _)| **vm < tick.settings.vm).count() as u64;
    before * NCALLS_PER_CALL / (1 + peering.peers.len() as u64)
}

/// Returns whether an event or a statement makes an upstream cold whatever the list says.
fn is_cold_since(tick: &Tick<'_>, row: &Pace) -> bool {
    let read_us = tick.tables.source.list.read_us;
    let is_after_list =
        |event_us: u64| read_us.is_none_or(|read_us: u64| read_us <= event_us + ENTRY_LAG_US);
    tick.now_us < row.cold_until_us || row.event_us.is_some_and(is_after_list)
}
