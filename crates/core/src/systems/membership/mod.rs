//! Fleet membership: the view, leases and failure detection.
//!
//! [`rounds`] sends heartbeats and [`answers`] handles them, [`leases`] tracks
//! confirmations and promises, [`suspicion`] detects failed members, [`views`]
//! adopts and propagates views, [`proposals`] proposes new ones, [`joining`] and
//! [`leaving`] add this VM to the fleet and remove it, [`topology`] chooses who
//! exchanges heartbeats, [`platform`] evaluates the platform's list of VMs, and
//! [`store`] paces the requests to the store.

mod answers;
mod joining;
mod leases;
mod leaving;
mod platform;
mod proposals;
mod rounds;
mod store;
mod suspicion;
mod topology;
mod views;

use super::{Sender, Tick};
use crate::input::{ListedVm, StoreEvent};
use crate::message::MembershipMessage;
use crate::tables::Timer;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub messages: Vec<(Sender, MembershipMessage)>,
    pub store: Vec<StoreEvent>,
    /// The platform's list of VMs, if a new one arrived.
    pub vm_list: Option<Vec<ListedVm>>,
    pub due_timers: Vec<Timer>,
    /// Whether this VM was asked to leave the fleet.
    pub drain: bool,
    /// Whether a new configuration revision has to be sent to child VMs.
    pub announce: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.store.is_empty()
            && self.vm_list.is_none()
            && self.due_timers.is_empty()
            && !self.drain
            && !self.announce
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.membership);
    if work.is_empty() {
        return;
    }
    if work.drain {
        leaving::start_drain(tick);
    }
    if let Some(vms) = work.vm_list {
        platform::update_list(tick, vms);
    }
    for event in work.store {
        store::handle_event(tick, event);
    }
    for (sender, message) in work.messages {
        handle_message(tick, &sender, message);
    }
    for timer in work.due_timers {
        match timer {
            Timer::Heartbeat => rounds::run(tick),
            _ => tick.tables.membership.store.timer_us = None,
        }
    }
    leaving::finish_drain(tick);
    answers::push_updates(tick);
    store::send_due(tick);
}

/// Dispatches a message from another VM.
fn handle_message(tick: &mut Tick<'_>, sender: &Sender, message: MembershipMessage) {
    match message {
        MembershipMessage::Heartbeat(request) => answers::handle_heartbeat(tick, sender, &request),
        MembershipMessage::HeartbeatAnswer(answer) => answers::handle_answer(tick, sender, &answer),
        MembershipMessage::Suspect { vm, incarnation } => {
            suspicion::record_report(tick, sender, vm, incarnation);
        }
        MembershipMessage::Join(member) => joining::record_join(tick, sender, *member),
        MembershipMessage::ViewRequest { known } => views::handle_request(tick, &sender.vm, known),
        MembershipMessage::ViewIs(view) => {
            views::adopt(tick, &view);
        }
        MembershipMessage::ViewChanges(deltas) => views::adopt_deltas(tick, sender, &deltas),
        MembershipMessage::Left { epoch } => leaving::record_left(tick, sender, epoch),
    }
}
