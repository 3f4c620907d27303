//! Exchange of state summaries between VMs that each place their own calls.
//!
//! [`sending`] builds and sends summaries, [`receiving`] applies those of other VMs, and [`group`]
//! tracks which VMs share the rates of accounts. The system runs under `Coordination::Peers` only.

mod group;
mod receiving;
mod sending;

pub(crate) use receiving::add_vms;
pub(crate) use sending::snapshot;

use std::sync::Arc;

use super::Tick;
use crate::input::PeerEvent;
use crate::output::Output;
use crate::tables::Timer;

/// Fleet size above which summaries are sent less often.
///
/// The number of summaries grows with the square of the fleet size.
const LARGE_FLEET_VMS: u64 = 24;

/// Interval between summaries in a large fleet, in percent of the normal one.
///
/// Two summaries still arrive before a VM counts as silent.
const LARGE_FLEET_PERCENT: u64 = 150;

/// Time after which an unanswered snapshot request is repeated.
const SNAPSHOT_RETRY_US: u64 = 400_000;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub news: Vec<PeerEvent>,
    /// Whether the next round of summaries is due.
    pub is_due: bool,
    /// Whether this VM was asked to stop.
    pub drain: bool,
    /// Whether a change has to be sent to the other VMs before the next round is due.
    pub announce: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.news.is_empty() && !self.is_due && !self.drain && !self.announce
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
        receiving::handle_event(tick, news);
    }
    if work.is_due {
        group::update_liveness(tick);
        // Pauses of proxies end, and VMs fall silent.
        tick.work.links.proxies_changed = true;
        let is_large = tick.tables.peering.known_vms > LARGE_FLEET_VMS;
        let percent = if is_large { LARGE_FLEET_PERCENT } else { 100 };
        let due_us = tick.now_us + tick.settings.summary_ms * 10 * percent;
        tick.tables.timers.set(due_us, Timer::Summary);
    }
    if work.is_due || work.announce || work.drain {
        sending::send_summaries(tick);
    }
}

/// Requests a snapshot from another VM, unless one was requested recently.
fn request_snapshot(tick: &mut Tick<'_>, address: Arc<str>, with_programs: bool) {
    let now_us = tick.now_us;
    let requested_us = &mut tick.tables.peering.snapshot_requested_us;
    if requested_us.is_some_and(|sent_us| now_us < sent_us + SNAPSHOT_RETRY_US) {
        return;
    }
    *requested_us = Some(now_us);
    tick.outputs.push(Output::RequestSnapshot {
        address,
        with_programs,
    });
}
