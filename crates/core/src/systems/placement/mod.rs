//! Queues calls and chooses upstreams.

mod entry;
mod owner;

use super::{Sender, Tick};
use crate::ids::{CallId, UpstreamName};
use crate::message::PlacementMessage;
use crate::tables::Timer;

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub calls: Vec<CallId>,
    pub messages: Vec<(Sender, PlacementMessage)>,
    pub loads: Vec<(UpstreamName, u32, u64)>,
    pub due: Vec<Timer>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
            && self.messages.is_empty()
            && self.loads.is_empty()
            && self.due.is_empty()
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.placement);
    for (sender, message) in work.messages {
        handle(tick, &sender, message);
    }
    for timer in work.due {
        match timer {
            Timer::QueueWait(attempt) => entry::expire(tick, attempt),
            Timer::PoolRetry(pool) => owner::assign(tick, &pool),
            _ => {}
        }
    }
    for call in work.calls {
        entry::request(tick, call);
    }
}

/// Handles a message of an entry VM or of the owner of a pool.
fn handle(tick: &mut Tick<'_>, sender: &Sender, message: PlacementMessage) {
    match message {
        PlacementMessage::Place(place) => owner::enqueue(tick, sender, *place),
        PlacementMessage::Placed {
            attempt,
            upstream,
            reason,
            runners_up,
        } => entry::dispatch(tick, attempt, upstream, reason, runners_up),
        PlacementMessage::Withdraw { pool, attempt } => owner::withdraw(tick, &pool, attempt),
        PlacementMessage::Finish { pool, attempt, .. } => owner::finish(tick, &pool, attempt),
    }
}
