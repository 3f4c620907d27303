//! Summaries between VMs that decide for their own calls.
//!
//! [`sending`] writes summaries, [`receiving`] learns from those of others, and [`group`] keeps
//! which VMs share the rates of accounts. The system runs under `Coordination::Peers` only.

mod group;
mod receiving;
mod sending;

pub(crate) use receiving::learn_vms;
pub(crate) use sending::snapshot;

use std::sync::Arc;

use super::Tick;
use crate::input::PeerNews;
use crate::output::Output;
use crate::tables::Timer;

/// VMs from which a fleet sends summaries less often, since their number grows with its square.
const LARGE_FLEET_VMS: u64 = 24;

/// Interval of summaries in a large fleet, in percent of the ordinary one.
///
/// Two of them still arrive before a VM counts as silent.
const LARGE_FLEET_PERCENT: u64 = 150;

/// Pause before a snapshot is asked for again.
const ASK_AGAIN_US: u64 = 400_000;

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub news: Vec<PeerNews>,
    pub due: bool,
    pub drain: bool,
    /// Whether the others should hear of a change before the next round is due.
    pub announce: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.news.is_empty() && !self.due && !self.drain && !self.announce
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.peers);
    if work.is_empty() {
        return;
    }
    if work.drain {
        let departure = &mut tick.tables.membership.departure;
        departure.is_draining = true;
        departure.has_left = true;
    }
    for news in work.news {
        receiving::handle(tick, news);
    }
    if work.due {
        group::review(tick);
        let is_large = tick.tables.peering.known_vms > LARGE_FLEET_VMS;
        let percent = if is_large { LARGE_FLEET_PERCENT } else { 100 };
        let due_us = tick.now_us + tick.settings.summary_ms * 10 * percent;
        tick.tables.timers.set(due_us, Timer::Summary);
    }
    if work.due || work.announce || work.drain {
        sending::send(tick);
    }
}

/// Asks another VM for the parts of its state that this one lacks.
fn ask_snapshot(tick: &mut Tick<'_>, address: Arc<str>, with_programs: bool) {
    let now_us = tick.now_us;
    let asked = &mut tick.tables.peering.asked_snapshot_us;
    if asked.is_some_and(|asked_us| now_us < asked_us + ASK_AGAIN_US) {
        return;
    }
    *asked = Some(now_us);
    tick.outputs.push(Output::AskSnapshot {
        address,
        with_programs,
    });
}
