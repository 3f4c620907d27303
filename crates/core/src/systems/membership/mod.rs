//! View, leases and failure suspicion.

use smallvec::smallvec;

use super::{Sender, Tick};
use crate::ids::Epoch;
use crate::input::{StoreEvent, StoredView, VmStatus};
use crate::message::MembershipMessage;
use crate::output::{Decision, Output, StoreRequest};
use crate::tables::{Member, Timer, View};

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub messages: Vec<(Sender, MembershipMessage)>,
    pub store: Vec<StoreEvent>,
    pub vm_list: Option<Vec<VmStatus>>,
    pub due: Vec<Timer>,
    pub drain: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.store.is_empty()
            && self.vm_list.is_none()
            && self.due.is_empty()
            && !self.drain
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.membership);
    for event in work.store {
        handle_store(tick, event);
    }
    if !work.due.is_empty() {
        touch(tick);
    }
}

/// Handles an answer of the store.
fn handle_store(tick: &mut Tick<'_>, event: StoreEvent) {
    match event {
        StoreEvent::ViewRead(None) => write_first_view(tick),
        StoreEvent::ViewRead(Some(stored)) | StoreEvent::ViewWritten(stored) => {
            adopt(tick, stored);
        }
        StoreEvent::ViewTouched { version, sent_us } => {
            tick.tables.view_version = version;
            extend_lease(tick, sent_us);
        }
        StoreEvent::Conflict | StoreEvent::Unavailable => {
            tick.outputs.push(Output::Store(StoreRequest::Read));
        }
    }
}

/// Adopts a view unless a newer one is known.
fn adopt(tick: &mut Tick<'_>, stored: StoredView) {
    if stored.view.epoch < tick.tables.view.epoch {
        return;
    }
    tick.tables.view_version = stored.version;
    if stored.view.epoch == tick.tables.view.epoch {
        return;
    }
    tick.decide(Decision::ViewChanged {
        epoch: stored.view.epoch,
        members: stored.view.members.len(),
    });
    tick.tables.view = stored.view;
    touch(tick);
}

/// Writes a view with this VM alone.
fn write_first_view(tick: &mut Tick<'_>) {
    let settings = tick.settings;
    let view = View {
        epoch: Epoch(1),
        members: vec![Member {
            vm: settings.vm.clone(),
            incarnation: settings.incarnation,
            failure_domain: settings.failure_domain.clone(),
            address: settings.address.clone(),
        }],
        writers: smallvec![settings.vm.clone()],
    };
    tick.outputs.push(Output::Store(StoreRequest::Write {
        view,
        expected_version: 0,
    }));
}

/// Proves by a conditional update that the view is still in force.
fn touch(tick: &mut Tick<'_>) {
    if !tick.tables.view.is_writer(&tick.settings.vm) {
        return;
    }
    tick.outputs.push(Output::Store(StoreRequest::Touch {
        view: tick.tables.view.clone(),
        expected_version: tick.tables.view_version,
    }));
    let due_us = tick.now_us + tick.settings.touch_ms * 1_000;
    tick.tables.timers.set(due_us, Timer::Touch);
}

/// Extends the lease from the moment at which the view was known to be in force.
fn extend_lease(tick: &mut Tick<'_>, confirmed_us: u64) {
    let until_us = confirmed_us + tick.settings.lease_ms * 1_000;
    let lease = &mut tick.tables.lease;
    lease.until_us = lease.until_us.max(until_us);
}
