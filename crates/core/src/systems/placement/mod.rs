//! Queues calls and assigns them to upstreams.
//!
//! The entry VM of a call requests an upstream from the owner of the call's
//! pool, which queues the call and selects the upstream.

mod availability;
mod claims;
mod dispatch;
mod entry;
mod exclusive;
mod finish;
mod hints;
mod limits;
mod origins;
mod owner;
mod queue_order;
mod reachability;
mod reconfigure;
mod refusal;
mod selection;
mod speeds;
mod stated_rates;
mod urgency;

pub(crate) use availability::{
    refresh_and_assign, refresh_availability, refresh_loads, requeue_held_everywhere,
};
pub(crate) use claims::schedule_period as schedule_shared_places;
pub(crate) use finish::{end_attempt, resend_finish};
pub(crate) use hints::record_cached_prefix;
pub(crate) use origins::refuse_stranded;
pub(crate) use reachability::refuse_unreachable;
pub(crate) use speeds::{apply_reports, count_slow, take_reports};

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
    pub load_reports: Vec<(UpstreamName, u32, u64)>,
    pub due_timers: Vec<Timer>,
    pub config_changed: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
            && self.messages.is_empty()
            && self.load_reports.is_empty()
            && self.due_timers.is_empty()
            && !self.config_changed
    }
}

/// Processes the collected input, starting with changes of the configuration and the view.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.placement);
    if work.config_changed {
        reconfigure::apply_config(tick);
    }
    if tick.tables.placement_epoch != tick.tables.view.epoch {
        reconfigure::apply_view(tick);
    }
    for (upstream, running_calls, tokens_per_s) in work.load_reports {
        limits::record_load_report(tick, &upstream, running_calls, tokens_per_s);
    }
    for (sender, message) in work.messages {
        handle_message(tick, &sender, message);
    }
    for timer in work.due_timers {
        handle_timer(tick, timer);
    }
    for call in work.calls {
        entry::start_attempt(tick, call);
    }
}

/// Handles an expired timer.
fn handle_timer(tick: &mut Tick<'_>, timer: Timer) {
    match timer {
        Timer::QueueWait(attempt) => entry::expire_wait(tick, attempt),
        Timer::PlaceWait(attempt) => entry::check_answer(tick, attempt),
        Timer::FinishWait(attempt) => resend_finish(tick, attempt),
        Timer::QueueAge(pool, attempt) => owner::requeue_aged(tick, &pool, attempt),
        Timer::QueueReview(pool, attempt) => urgency::review(tick, &pool, attempt),
        Timer::RunningCheck(attempt) => owner::check_running(tick, attempt),
        Timer::UpstreamReady(upstream) => refresh_and_assign(tick, &upstream),
        Timer::PlacesShared => claims::begin_period(tick),
        Timer::PlacementHistoryIdle(program) => hints::expire_history(tick, program),
        _ => {}
    }
}

/// Handles a message from an entry VM or from the owner of a pool.
fn handle_message(tick: &mut Tick<'_>, sender: &Sender, message: PlacementMessage) {
    match message {
        PlacementMessage::Place(place) => owner::enqueue(tick, sender, *place),
        PlacementMessage::Queued { attempt } => entry::handle_queued(tick, attempt),
        PlacementMessage::Placed {
            pool,
            attempt,
            upstream,
            reason,
            runners_up,
        } => entry::handle_placed(tick, &pool, attempt, (upstream, reason, runners_up)),
        PlacementMessage::Unplaced { attempt, kind } => entry::handle_unplaced(tick, attempt, kind),
        PlacementMessage::Withdraw { pool, attempt } => owner::withdraw(tick, &pool, attempt),
        PlacementMessage::Finish(finish) => {
            owner::finish_attempt(tick, &finish);
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
            reconfigure::record_in_flight(tick, sender, &pool, attempts);
        }
        PlacementMessage::Suspected { call, crashes } => {
            if let Some(row) = tick.tables.calls.get_mut(&call) {
                row.placement.crashes = row.placement.crashes.max(crashes);
            }
        }
        PlacementMessage::Quarantine { digest, for_ms } => {
            super::outcomes::quarantine_content(tick, digest, for_ms);
        }
    }
}
