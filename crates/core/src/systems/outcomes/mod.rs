//! Handles results of attempts: responses, charges, retries and upstream failures.

mod ejection;
mod examination;
mod notices;
mod quarantine;
mod results;
mod retries;
mod silence;
mod suspects;

pub(crate) use ejection::{back_off_full, record_failure};
pub(crate) use examination::{
    record_connection_refused, record_lost_connection, record_replaced, record_silence,
    record_unreachable,
};
pub(crate) use notices::has_given_notice;
pub(crate) use quarantine::quarantine_content;
pub(crate) use results::{answer_call, charge_last_run};
pub(crate) use suspects::{clear_crash_count, raise_crash_count};

use super::Tick;
use crate::ids::{UpstreamName, VmName};
use crate::input::{AttemptEvent, AttemptProgress, ProbeState};
use crate::tables::{LeavingNotice, Stage, Timer};

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub events: Vec<AttemptEvent>,
    pub probe_results: Vec<(UpstreamName, Option<VmName>, ProbeState)>,
    pub leaving_notices: Vec<(UpstreamName, LeavingNotice)>,
    pub due_timers: Vec<Timer>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
            && self.probe_results.is_empty()
            && self.leaving_notices.is_empty()
            && self.due_timers.is_empty()
    }
}

/// Processes the collected input.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.outcomes);
    // Before the events, which may place calls again.
    for (upstream, notice) in work.leaving_notices {
        notices::record_notice(tick, upstream, notice);
    }
    for event in work.events {
        handle_event(tick, event);
    }
    for (upstream, proxy, state) in work.probe_results {
        examination::handle_probe_result(tick, &upstream, proxy, state);
    }
    for timer in work.due_timers {
        match timer {
            Timer::CrashDecision(upstream) => examination::handle_timeout(tick, &upstream),
            Timer::NoticeExpiry(upstream) => notices::expire_notice(tick, upstream),
            Timer::SuspectIdle(digest) => suspects::expire_suspect(tick, digest),
            Timer::QuarantineEnd(digest) => quarantine::expire_quarantine(tick, digest),
            _ => {}
        }
    }
}

/// Handles an event of a call's running attempt; events of earlier attempts are dropped.
fn handle_event(tick: &mut Tick<'_>, event: AttemptEvent) {
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
        AttemptProgress::FirstToken => call.placement.first_token_us = now_us,
        AttemptProgress::Silent { forwarded } => silence::handle_silence(tick, attempt, forwarded),
        AttemptProgress::Finished(outcome) => results::complete_call(tick, attempt, outcome),
        AttemptProgress::Failed(failure) => retries::handle_failure(tick, attempt, failure),
    }
}
