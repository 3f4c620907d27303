//! Paces upstreams that have started or recovered, and limits those that are cold.
//!
//! [`episodes`] begins and ends the episodes in which an upstream is paced, [`parts`] deals the
//! places of its window to the VMs, [`reports`] exchanges what calls have shown, and [`cold`] tells
//! which upstreams are cold. The system runs under `Coordination::Peers` only.

mod cold;
mod episodes;
mod parts;
mod reports;

pub(crate) use cold::record_cold_time;
pub(crate) use episodes::{prepare, record_result, record_return};
pub(crate) use parts::{count_held_back, may_send};
pub(crate) use reports::{announcements, merge_report};

use super::Tick;
use crate::config::Coordination;
use crate::ids::UpstreamName;
use crate::tables::Timer;

/// Time between two looks at the upstreams that are paced or cold, a third of a deal's period.
const REVIEW_US: u64 = 100_000;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Whether the next review is due.
    pub is_due: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        !self.is_due
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.pacing);
    if work.is_empty() {
        return;
    }
    tick.tables.pacing.is_review_set = false;
    episodes::review(tick);
    let pacing = &tick.tables.pacing;
    if !pacing.rows.is_empty() || !pacing.cold.is_empty() || pacing.was_uninformed {
        schedule_review(tick);
    }
}

/// Sets the timer of the next review.
fn schedule_review(tick: &mut Tick<'_>) {
    if std::mem::replace(&mut tick.tables.pacing.is_review_set, true) {
        return;
    }
    let due_us = tick.now_us + REVIEW_US;
    tick.tables.timers.set(due_us, Timer::PaceReview);
}

/// Updates which upstreams are cold after a list has come into force.
pub(crate) fn apply_list(tick: &mut Tick<'_>) {
    let upstreams = tick.tables.upstreams.iter();
    let names: Vec<UpstreamName> = upstreams.map(|(name, _)| name.clone()).collect();
    for name in names {
        cold::update(tick, &name);
    }
    if parts::is_uninformed(tick) {
        schedule_review(tick);
    }
}

/// Returns whether the VMs of the fleet share windows of upstreams.
fn is_enabled(tick: &Tick<'_>) -> bool {
    tick.settings.coordination == Coordination::Peers
        && tick.settings.policy.pace_returns
        && tick.tables.peering.known_vms > 1
}
