//! Queues calls and assigns them to upstreams.
//!
//! The entry VM of a call requests an upstream from the owner of the call's
//! pool, which queues the call and selects the upstream.

mod availability;
mod entry;
mod hints;
mod isolation;
mod limits;
mod owner;
mod queue_order;
mod reconfigure;
mod selection;

pub(crate) use availability::{list, release_held, wake};
pub(crate) use entry::{end_attempt, resend_finish};
pub(crate) use hints::note_cached;

use super::{Sender, Tick};
use crate::ids::{CallId, UpstreamName};
use crate::message::PlacementMessage;
use crate::tables::Timer;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Calls whose next attempt may start.
    pub calls: Vec<CallId>,
    pub messages: Vec<(Sender, PlacementMessage)>,
    /// Running calls and tokens per second that upstreams report.
    pub loads: Vec<(UpstreamName, u32, u64)>,
    pub due: Vec<Timer>,
    pub config_changed: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
            && self.messages.is_empty()
            && self.loads.is_empty()
            && self.due.is_empty()
            && !self.config_changed
    }
}

/// Processes the collected input, changes of the configuration and the view first.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.placement);
    if work.config_changed {
        reconfigure::adopt_config(tick);
    }
    if tick.tables.placed_epoch != tick.tables.view.epoch {
        reconfigure::adopt_view(tick);
    }
    for (upstream, running_calls, tokens_per_s) in work.loads {
        limits::report(tick, &upstream, running_calls, tokens_per_s);
    }
    for (sender, message) in work.messages {
        handle(tick, &sender, message);
    }
    for timer in work.due {
        handle_due(tick, timer);
    }
    for call in work.calls {
        entry::request(tick, call);
    }
}

/// Handles an expired timer.
fn handle_due(tick: &mut Tick<'_>, timer: Timer) {
    match timer {
        Timer::QueueWait(attempt) => entry::expire(tick, attempt),
        Timer::PlaceWait(attempt) => entry::check_answer(tick, attempt),
        Timer::FinishWait(attempt) => resend_finish(tick, attempt),
        Timer::QueueAge(pool, attempt) => owner::advance(tick, &pool, attempt),
        Timer::RunningCheck(attempt) => owner::check_running(tick, attempt),
        Timer::UpstreamReady(upstream) => wake(tick, &upstream),
        Timer::FootprintIdle(program) => hints::expire(tick, program),
        _ => {}
    }
}

/// Handles a message from an entry VM or from the owner of a pool.
fn handle(tick: &mut Tick<'_>, sender: &Sender, message: PlacementMessage) {
    match message {
        PlacementMessage::Place(place) => owner::enqueue(tick, sender, *place),
        PlacementMessage::Queued { attempt } => entry::queued(tick, attempt),
        PlacementMessage::Placed {
            pool,
            attempt,
            upstream,
            reason,
            runners_up,
        } => entry::placed(tick, &pool, attempt, (upstream, reason, runners_up)),
        PlacementMessage::Unplaced { attempt, kind } => entry::unplaced(tick, attempt, kind),
        PlacementMessage::Withdraw { pool, attempt } => owner::withdraw(tick, &pool, attempt),
        PlacementMessage::Finish(finish) => {
            owner::finish(tick, &finish);
            let attempt = finish.attempt;
            if sender.vm == tick.settings.vm {
                tick.tables.finishing.remove(&attempt);
            } else {
                tick.send(&sender.vm, PlacementMessage::Finished { attempt });
            }
        }
        PlacementMessage::Finished { attempt } => {
            tick.tables.finishing.remove(&attempt);
        }
        PlacementMessage::InFlight { pool, attempts } => {
            reconfigure::adopt_attempts(tick, sender, &pool, attempts);
        }
        PlacementMessage::Suspected { call, crashes } => {
            if let Some(row) = tick.tables.calls.get_mut(&call) {
                row.place.crashes = row.place.crashes.max(crashes);
            }
        }
        PlacementMessage::Quarantine { digest, for_ms } => {
            super::outcomes::quarantine(tick, digest, for_ms);
        }
    }
}
