//! Order, budget and permits of programs.

mod entry;
mod home;

use super::{Sender, Tick};
use crate::ids::CallId;
use crate::message::HomesMessage;
use crate::tables::Timer;

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub calls: Vec<CallId>,
    pub messages: Vec<(Sender, HomesMessage)>,
    pub due: Vec<Timer>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty() && self.messages.is_empty() && self.due.is_empty()
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.homes);
    for (sender, message) in work.messages {
        handle(tick, &sender, message);
    }
    for timer in work.due {
        if let Timer::ProgramLease(program) = timer {
            home::expire(tick, &program);
        }
    }
    for call in work.calls {
        entry::begin(tick, call);
    }
}

/// Handles a message of an entry VM or of a home.
fn handle(tick: &mut Tick<'_>, sender: &Sender, message: HomesMessage) {
    match message {
        HomesMessage::Begin(begin) => home::begin(tick, sender, *begin),
        HomesMessage::Settle(settle) => home::settle(tick, sender, settle),
        HomesMessage::Began {
            call,
            generation,
            valid_us,
        } => entry::began(tick, call, generation, valid_us),
        HomesMessage::Denied(denied) => entry::denied(tick, denied),
        HomesMessage::Kept { call, vm, original } => entry::kept(tick, call, vm, original),
        HomesMessage::Settled {
            call,
            continuation,
            permit,
        } => entry::settled(tick, call, *continuation, permit.map(|permit| *permit)),
    }
}
