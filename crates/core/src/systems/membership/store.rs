//! Requests to the store, one at a time, with exponential backoff while it does not answer.
//!
//! Writers regularly touch the view: they rewrite it unchanged, which proves that
//! it is still in force.

use super::super::Tick;
use super::{leases, proposals, views};
use crate::input::{StoreEvent, StoredView};
use crate::output::{MembershipDecision, Output, StoreRequest};
use crate::tables::{
    PendingStoreRequest, StoreRequestKind, Timer, UnresolvedWrite, View, hash_name,
};

/// Initial backoff after a request that was not answered.
const MIN_BACKOFF_US: u64 = 200_000;

/// Maximum age of the store's last answer when a writer sends it a view.
///
/// A view that may still be written prevents promises for the whole of an
/// outage. Touching right before the write reduces the time in which an outage
/// can begin unnoticed from the touch interval to one answer of the store.
const MAX_ANSWER_AGE_US: u64 = 100_000;

/// Maximum backoff.
const MAX_BACKOFF_US: u64 = 10_000_000;

/// Timeout of a request.
///
/// The store's client times out long before; this guards against a lost event.
const REQUEST_TIMEOUT_US: u64 = 15_000_000;

/// Dispatches an answer of the store, or its absence.
pub(super) fn handle_event(tick: &mut Tick<'_>, event: StoreEvent) {
    let pending = tick.tables.membership.store.pending.take();
    if event != StoreEvent::Unavailable {
        record_answer(tick);
    }
    match event {
        StoreEvent::ViewRead(stored) => handle_read(tick, stored),
        StoreEvent::ViewWritten(stored) => handle_written(tick, &stored, pending),
        StoreEvent::ViewTouched { version, sent_us } => handle_touched(tick, version, sent_us),
        StoreEvent::Conflict => handle_conflict(tick),
        StoreEvent::Unavailable => handle_unavailable(tick, pending),
    }
}

/// Records that the store answers and resets the backoff.
fn record_answer(tick: &mut Tick<'_>) {
    let store = &mut tick.tables.membership.store;
    let was_down = store.failures > 1;
    store.failures = 0;
    store.not_before_us = 0;
    store.answered_us = Some(tick.now_us);
    if was_down {
        tick.log(MembershipDecision::StoreAvailable);
    }
}

/// Handles the view that was read.
fn handle_read(tick: &mut Tick<'_>, stored: Option<StoredView>) {
    let tables = &mut *tick.tables;
    tables.membership.store.needs_read = false;
    tables.view_version = stored.as_ref().map_or(0, |stored| stored.version);
    tables.membership.store.is_absent = stored.is_none();
    let known = tables.view.epoch;
    let Some(stored) = stored else {
        tables.membership.store.is_behind = known.0 > 0;
        return;
    };
    resolve_write(tick, &stored);
    if views::adopt(tick, &stored.view) {
        tick.tables.membership.store.is_behind = false;
    } else {
        // A different view of the same epoch also means that the store holds an older state.
        let is_behind = stored.view != tick.tables.view;
        tick.tables.membership.store.is_behind = is_behind;
        if is_behind {
            tick.log(MembershipDecision::ViewIgnored {
                offered: stored.view.epoch,
                in_force: known,
            });
        }
    }
    back_off_isolated(tick);
}

/// Determines whether a view whose write was not answered has been written.
fn resolve_write(tick: &mut Tick<'_>, stored: &StoredView) {
    let link = &mut tick.tables.membership.store;
    let Some(unresolved) = &link.unresolved else {
        return;
    };
    let is_written = stored.view == unresolved.view;
    // At the same version the write may still take effect, until another update by
    // this VM succeeds.
    if is_written || stored.version != unresolved.expected_version {
        link.unresolved = None;
    }
    if is_written && stored.view.epoch.0 == 1 {
        tick.tables.membership.is_founder = true;
    }
}

/// Backs off the reads of an isolated VM.
fn back_off_isolated(tick: &mut Tick<'_>) {
    if !is_isolated(tick) {
        tick.tables.membership.store.isolated_reads = 0;
        return;
    }
    let reads = tick.tables.membership.store.isolated_reads + 1;
    let delay_us = backoff_us(tick, reads);
    let store = &mut tick.tables.membership.store;
    store.isolated_reads = reads;
    store.next_isolated_read_us = tick.now_us + delay_us;
}

/// Handles a view that this VM wrote.
fn handle_written(tick: &mut Tick<'_>, stored: &StoredView, pending: Option<PendingStoreRequest>) {
    let link = &mut tick.tables.membership.store;
    link.unresolved = None;
    link.conflicts = 0;
    link.is_behind = false;
    link.is_absent = false;
    link.touched_us = pending.map(|pending| pending.sent_us);
    link.updated_us = link.touched_us;
    tick.tables.view_version = stored.version;
    if stored.view.epoch.0 == 1 {
        tick.tables.membership.is_founder = true;
    }
    views::adopt(tick, &stored.view);
    views::send_to_added(tick);
    if let Some(pending) = pending.filter(|pending| pending.kind == StoreRequestKind::Write) {
        leases::confirm(tick, pending.sent_us);
    }
}

/// Handles a successful touch: the view was in force when it was sent, or later.
fn handle_touched(tick: &mut Tick<'_>, version: u64, sent_us: u64) {
    let link = &mut tick.tables.membership.store;
    link.unresolved = None;
    link.conflicts = 0;
    link.updated_us = Some(sent_us);
    tick.tables.view_version = version;
    leases::confirm(tick, sent_us);
}

/// Handles an update that failed because the version had changed.
fn handle_conflict(tick: &mut Tick<'_>) {
    let conflicts = tick.tables.membership.store.conflicts + 1;
    // A single conflict is common; several in a row mean that reads are stale.
    let delay_us = if conflicts > 1 {
        backoff_us(tick, conflicts - 1)
    } else {
        0
    };
    let link = &mut tick.tables.membership.store;
    link.conflicts = conflicts;
    link.needs_read = true;
    link.touched_us = None;
    link.not_before_us = tick.now_us + delay_us;
}

/// Handles a request that was not answered; it may have taken effect.
fn handle_unavailable(tick: &mut Tick<'_>, pending: Option<PendingStoreRequest>) {
    let failures = tick.tables.membership.store.failures + 1;
    let delay_us = backoff_us(tick, failures);
    let link = &mut tick.tables.membership.store;
    link.failures = failures;
    link.touched_us = None;
    link.not_before_us = tick.now_us + delay_us;
    if pending.is_some_and(|pending| pending.kind == StoreRequestKind::Write) {
        link.needs_read = true;
    }
    // A single lost answer is not logged.
    if failures == 2 {
        tick.log(MembershipDecision::StoreUnavailable);
    }
}

/// Returns the backoff after `failures` failed requests in a row.
///
/// It doubles from 0.2 s to 10 s. Jitter from a hash of the VM's name and a
/// request counter varies it between half and all of that, so that VMs do not
/// send requests together when the store returns.
fn backoff_us(tick: &Tick<'_>, failures: u32) -> u64 {
    let doublings = failures.saturating_sub(1).min(16);
    let full_us = (MIN_BACKOFF_US << doublings).min(MAX_BACKOFF_US);
    let requests = tick.tables.membership.store.requests;
    let hash = hash_name(tick.settings.vm.as_str(), requests);
    full_us / 2 + hash % (full_us / 2 + 1)
}

/// Sends the next request if it is due, and schedules it otherwise.
pub(super) fn send_due(tick: &mut Tick<'_>) {
    expire_pending(tick);
    if tick.tables.membership.store.pending.is_some() {
        return;
    }
    let Some((due_us, request)) = next_request(tick) else {
        return;
    };
    let due_us = due_us.max(tick.tables.membership.store.not_before_us);
    if due_us > tick.now_us {
        schedule(tick, due_us);
    } else {
        send_request(tick, request);
    }
}

/// The next request to the store.
enum NextRequest {
    Read,
    Touch,
    Write(View),
}

/// Treats the pending request as unanswered after its timeout.
fn expire_pending(tick: &mut Tick<'_>) {
    let pending = tick.tables.membership.store.pending;
    if pending.is_some_and(|pending| tick.now_us > pending.sent_us + REQUEST_TIMEOUT_US) {
        tick.tables.membership.store.pending = None;
        handle_unavailable(tick, pending);
    }
}

/// Sets a timer for the next request, unless an earlier one is set.
fn schedule(tick: &mut Tick<'_>, due_us: u64) {
    let store = &mut tick.tables.membership.store;
    if store.timer_us.is_none_or(|at_us| due_us < at_us) {
        store.timer_us = Some(due_us);
        tick.tables.timers.set(due_us, Timer::Store);
    }
}

/// Returns the request that is due first, and when.
fn next_request(tick: &mut Tick<'_>) -> Option<(u64, NextRequest)> {
    let now_us = tick.now_us;
    if tick.tables.membership.store.needs_read {
        return Some((now_us, NextRequest::Read));
    }
    if tick.tables.view.epoch.0 == 0 {
        return Some(bootstrap_request(tick));
    }
    let write = proposals::propose(tick);
    let write = write.map(|proposal| match touches_first(tick) {
        true => (proposal.due_us, NextRequest::Touch),
        false => (proposal.due_us, NextRequest::Write(proposal.view)),
    });
    let touch = touch_due_us(tick).map(|due_us| (due_us, NextRequest::Touch));
    let read = read_due_us(tick).map(|due_us| (due_us, NextRequest::Read));
    // Of several requests that are due, the first in this order is sent.
    [write, touch, read]
        .into_iter()
        .flatten()
        .min_by_key(|(due_us, _)| (*due_us).max(now_us))
}

/// Returns whether this writer has to touch the view before it writes the next one.
fn touches_first(tick: &Tick<'_>) -> bool {
    let (settings, tables) = (tick.settings, &*tick.tables);
    let store = &tables.membership.store;
    let is_fresh = |at_us: u64| tick.now_us.saturating_sub(at_us) <= MAX_ANSWER_AGE_US;
    // A store that holds an older view has answered, and a touch would conflict.
    tables
        .view
        .is_writer_with_incarnation(&settings.vm, settings.incarnation)
        && !store.is_behind
        && !store.answered_us.is_some_and(is_fresh)
}

/// Returns the request of a VM that knows no view: read one, or create the first.
fn bootstrap_request(tick: &Tick<'_>) -> (u64, NextRequest) {
    let membership = &tick.tables.membership;
    if !membership.store.is_absent {
        return (tick.now_us, NextRequest::Read);
    }
    let started_us = membership
        .sent_rounds
        .front()
        .map_or(0, |(_, at_us)| *at_us);
    // A store that lost its state must not start a second fleet, so configured peers
    // get time to answer with the view.
    let wait_us = if tick.settings.peers.is_empty() {
        0
    } else {
        tick.settings.heartbeat_ms * 2_000
    };
    let first = NextRequest::Write(proposals::first_view(tick));
    (started_us + wait_us, first)
}

/// Returns when this VM has to touch the view next, if it is a writer.
fn touch_due_us(tick: &Tick<'_>) -> Option<u64> {
    let (settings, tables) = (tick.settings, &*tick.tables);
    let view = &tables.view;
    if !view.is_writer_with_incarnation(&settings.vm, settings.incarnation) {
        return None;
    }
    let interval_us = settings.touch_ms * 1_000;
    let touched_us = tables.membership.store.touched_us.unwrap_or(0);
    let next_us = touched_us + interval_us;
    // The second writer touches only if the store does not answer the first one,
    // or if it receives no confirmation from the first one.
    if view.writers.first() == Some(&settings.vm) || leases::has_recent_promise(tick) {
        return Some(next_us);
    }
    let confirmed_us = tables.lease.confirmed_us.unwrap_or(0);
    Some(next_us.max(confirmed_us + interval_us * 2))
}

/// Returns when this VM reads the view next, if it is isolated.
fn read_due_us(tick: &Tick<'_>) -> Option<u64> {
    is_isolated(tick).then_some(tick.tables.membership.store.next_isolated_read_us)
}

/// Returns whether this VM is isolated: it has received no confirmation for longer than a lease.
fn is_isolated(tick: &Tick<'_>) -> bool {
    let limit_us = tick.settings.lease_ms * 1_000;
    let age_us = tick.tables.lease.age_us(tick.now_us);
    let since_us = tick.tables.membership.view_since_us;
    let known_us = tick.now_us.saturating_sub(since_us);
    age_us.unwrap_or(known_us) > limit_us
}

/// Sends a request and records it as pending.
fn send_request(tick: &mut Tick<'_>, request: NextRequest) {
    let expected_version = tick.tables.view_version;
    let link = &mut tick.tables.membership.store;
    let (kind, request) = match request {
        NextRequest::Read => (StoreRequestKind::Read, StoreRequest::Read),
        NextRequest::Touch => {
            link.touched_us = Some(tick.now_us);
            let view = tick.tables.view.clone();
            let request = StoreRequest::Touch {
                view,
                expected_version,
            };
            (StoreRequestKind::Touch, request)
        }
        NextRequest::Write(view) => {
            link.unresolved = Some(UnresolvedWrite {
                view: view.clone(),
                expected_version,
            });
            let request = StoreRequest::Write {
                view,
                expected_version,
            };
            (StoreRequestKind::Write, request)
        }
    };
    link.requests += 1;
    link.pending = Some(PendingStoreRequest {
        kind,
        sent_us: tick.now_us,
    });
    tick.outputs.push(Output::Store(request));
}
