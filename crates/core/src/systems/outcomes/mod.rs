//! Results of attempts: responses, charges, retries and failures of upstreams.

mod ejection;
mod quarantine;
mod results;
mod retries;
mod suspects;

pub(crate) use ejection::{upstream_failed, upstream_full, upstream_refused};
pub(crate) use quarantine::quarantine;
pub(crate) use results::{answer, charge_last_run};
pub(crate) use suspects::{carry_crashes, clear_suspect, connection_lost};

use super::Tick;
use crate::ids::UpstreamName;
use crate::input::{AttemptEvent, AttemptProgress, ProbeState};
use crate::tables::{Stage, Timer};

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub events: Vec<AttemptEvent>,
    pub probes: Vec<(UpstreamName, ProbeState)>,
    pub due: Vec<Timer>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.probes.is_empty() && self.due.is_empty()
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.outcomes);
    for event in work.events {
        handle(tick, event);
    }
    for (upstream, state) in work.probes {
        suspects::probed(tick, &upstream, state);
    }
    for timer in work.due {
        match timer {
            Timer::CrashVerdict(upstream) => suspects::expire_probe(tick, &upstream),
            Timer::SuspectIdle(digest) => suspects::expire(tick, digest),
            Timer::QuarantineEnd(digest) => quarantine::expire(tick, digest),
            _ => {}
        }
    }
}

/// Handles an event of the running attempt; events of older attempts are dropped.
fn handle(tick: &mut Tick<'_>, event: AttemptEvent) {
    let attempt = event.attempt;
    let now_us = tick.now_us;
    let Some(call) = tick.tables.calls.get_mut(&attempt.call) else {
        return;
    };
    if call.stage != Stage::Running || call.attempt() != attempt {
        return;
    }
    match event.progress {
        AttemptProgress::Sent => call.sent = true,
        AttemptProgress::FirstToken => call.place.first_token_us = now_us,
        AttemptProgress::Finished(outcome) => results::finish(tick, attempt, outcome),
        AttemptProgress::Failed(failure) => retries::fail(tick, attempt, failure),
    }
}
