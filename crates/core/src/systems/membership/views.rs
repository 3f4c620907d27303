//! Adopts views and propagates them to other VMs.

use std::sync::Arc;

use super::super::{Sender, Tick};
use super::{leases, topology};
use crate::ids::{Epoch, VmName};
use crate::message::MembershipMessage;
use crate::output::MembershipDecision;
use crate::tables::{Departed, PastView, Timer, View, ViewChange, ViewDelta, Vm};

/// Number of deltas kept for VMs that missed them; VMs further behind get the whole view.
const MAX_DELTAS: usize = 64;

/// Number of past views kept for the takeover wait.
///
/// Owners in older views are treated as unknown, which only lengthens waits.
const MAX_PAST_VIEWS: usize = 16;

/// Time after which an unanswered request for a view is repeated.
const VIEW_RETRY_US: u64 = 200_000;

/// How long records of removed members and of silent VMs are retained.
const RETENTION_US: u64 = 60_000_000;

/// Adopts a view if it is newer; returns whether it was.
pub(super) fn adopt(tick: &mut Tick<'_>, view: &View) -> bool {
    if view.epoch <= tick.tables.view.epoch {
        return false;
    }
    let now_us = tick.now_us;
    let before = std::mem::replace(&mut tick.tables.view, view.clone());
    let since_us = std::mem::replace(&mut tick.tables.membership.view_since_us, now_us);
    publish_change(tick, &before);
    store_delta(tick, &before);
    store_past_view(tick, before, since_us);
    update_incarnations(tick);
    remove_applied_proposals(tick);
    topology::choose_peers(tick);
    leases::remove_stale_promises(tick);
    leases::update_expiry(tick);
    tick.log(MembershipDecision::ViewChanged {
        epoch: view.epoch,
        members: view.members.len(),
    });
    propagate(tick);
    true
}

/// Publishes the change to the other systems and records the removed members.
fn publish_change(tick: &mut Tick<'_>, before: &View) {
    let (now_us, settings) = (tick.now_us, tick.settings);
    let tables = &mut *tick.tables;
    let removed = before.members_not_in(&tables.view);
    let added = tables.view.members_not_in(before);
    for member in &removed {
        let left = tables.membership.left.get(&member.vm) == Some(&member.incarnation);
        let row = Departed {
            incarnation: member.incarnation,
            since_us: now_us,
            handed_over_us: left.then_some(now_us),
        };
        tables.membership.departed.insert(member.vm.clone(), row);
    }
    let is_self = |member: &&crate::tables::Member| {
        member.vm == settings.vm && member.incarnation == settings.incarnation
    };
    let lost_membership = removed.iter().any(|member| is_self(&member));
    if lost_membership && tables.membership.departure.is_draining {
        tables.membership.departure.removed_us = Some(now_us);
        tables.timers.set(now_us + 1, Timer::Store);
    }
    tick.work.view_changes.push(ViewChange {
        before: before.clone(),
        epoch: tables.view.epoch,
        removed,
        added,
        lost_membership,
    });
}

/// Stores the delta for VMs that know only the previous view.
fn store_delta(tick: &mut Tick<'_>, before: &View) {
    let delta = before.delta_to(&tick.tables.view);
    let deltas = &mut tick.tables.membership.deltas;
    deltas.push_back(delta);
    if deltas.len() > MAX_DELTAS {
        deltas.pop_front();
    }
}

/// Stores the previous view until the takeover wait is over.
fn store_past_view(tick: &mut Tick<'_>, before: View, since_us: u64) {
    let (now_us, wait_us) = (tick.now_us, tick.settings.takeover_wait_us());
    let past = &mut tick.tables.membership.past_views;
    past.retain(|row| row.until_us + wait_us > now_us);
    if before.epoch > Epoch::default() {
        past.push_back(PastView {
            view: before,
            since_us,
            until_us: now_us,
        });
    }
    if past.len() > MAX_PAST_VIEWS {
        past.pop_front();
    }
}

/// Resets the rows of VMs for which the view has a newer incarnation.
fn update_incarnations(tick: &mut Tick<'_>) {
    let now_us = tick.now_us;
    let tables = &mut *tick.tables;
    for member in &tables.view.members {
        if let Some(row) = tables.vms.get_mut(&member.vm)
            && row.incarnation < member.incarnation
        {
            *row = Vm::new(member.incarnation, now_us);
        }
    }
}

/// Removes joins, departures and reports that the new view has made obsolete.
fn remove_applied_proposals(tick: &mut Tick<'_>) {
    let tables = &mut *tick.tables;
    let (view, membership) = (&tables.view, &mut tables.membership);
    membership.join_requests.retain(|vm, (member, _)| {
        view.member_with_incarnation(vm, member.incarnation)
            .is_none()
    });
    membership.suspicions.retain(|vm, suspect| {
        view.member_with_incarnation(vm, suspect.incarnation)
            .is_some()
    });
    membership
        .leaving
        .retain(|vm, incarnation| view.member_with_incarnation(vm, *incarnation).is_some());
    membership.writers_missing_since_us = None;
    membership.change_wanted_since_us = None;
    membership.view_requested = None;
}

/// Sends a new view to VMs that asked this one recently and do not know it.
///
/// In a small fleet only the writers do: heartbeats soon tell every member of
/// the new epoch.
fn propagate(tick: &mut Tick<'_>) {
    let tables = &*tick.tables;
    let epoch = tables.view.epoch;
    let is_writer = tables.view.is_writer(&tick.settings.vm);
    if !tables.membership.peers.is_tree && !is_writer {
        return;
    }
    let recent_us = tick.settings.suspect_ms * 1_000;
    let oldest_us = tick.now_us.saturating_sub(recent_us);
    let behind: Vec<(VmName, Epoch)> = tables
        .vms
        .iter()
        .filter(|(_, row)| row.epoch.max(row.sent_epoch) < epoch)
        .filter(|(_, row)| {
            row.heartbeat_request
                .is_some_and(|request| request.arrived_us >= oldest_us)
        })
        .map(|(vm, row)| (vm.clone(), row.epoch.max(row.sent_epoch)))
        .collect();
    for (vm, known) in behind {
        if let Some(row) = tick.tables.vms.get_mut(&vm) {
            // If the message is lost, the receiver requests the view after the next heartbeat.
            row.sent_epoch = epoch;
        }
        send_view(tick, &vm, known);
    }
}

/// Sends the view to the members that it added.
pub(super) fn send_to_added(tick: &mut Tick<'_>) {
    let epoch = tick.tables.view.epoch;
    let added: Vec<VmName> = tick
        .tables
        .view
        .members
        .iter()
        .filter(|member| member.joined == epoch && member.vm != tick.settings.vm)
        .map(|member| member.vm.clone())
        .collect();
    for vm in added {
        let known = tick
            .tables
            .vms
            .get(&vm)
            .map_or(Epoch::default(), |row| row.epoch);
        send_view(tick, &vm, known);
    }
}

/// Answers a request for a newer view.
pub(super) fn handle_request(tick: &mut Tick<'_>, vm: &VmName, known: Epoch) {
    if known < tick.tables.view.epoch {
        send_view(tick, vm, known);
    }
}

/// Sends the deltas since the known epoch, or the whole view if they are not stored.
fn send_view(tick: &mut Tick<'_>, vm: &VmName, known: Epoch) {
    let deltas: Vec<ViewDelta> = tick
        .tables
        .membership
        .deltas
        .iter()
        .skip_while(|delta| delta.from != known)
        .cloned()
        .collect();
    // A VM without a view gets the whole one: a delta from no view would be no smaller.
    let message = if deltas.is_empty() || known == Epoch::default() {
        MembershipMessage::ViewIs(Arc::new(tick.tables.view.clone()))
    } else {
        MembershipMessage::ViewChanges(deltas)
    };
    tick.send(vm, message);
}

/// Requests the view from a VM that knows a newer epoch.
pub(super) fn request_newer(tick: &mut Tick<'_>, vm: &VmName, epoch: Epoch) {
    let (now_us, known) = (tick.now_us, tick.tables.view.epoch);
    if epoch <= known {
        return;
    }
    let requested = &mut tick.tables.membership.view_requested;
    if requested.is_some_and(|(last, at_us)| last >= epoch && now_us < at_us + VIEW_RETRY_US) {
        return;
    }
    *requested = Some((epoch, now_us));
    tick.send(vm, MembershipMessage::ViewRequest { known });
}

/// Adopts views from their deltas, one after the other.
///
/// Merging several deltas into one would leave none to send to VMs that know
/// an intermediate view.
pub(super) fn adopt_deltas(tick: &mut Tick<'_>, sender: &Sender, deltas: &[ViewDelta]) {
    for delta in deltas {
        if let Some(view) = tick.tables.view.with_delta(delta) {
            adopt(tick, &view);
        }
    }
    let newest = deltas.last().map_or(Epoch::default(), |delta| delta.to);
    request_newer(tick, &sender.vm, newest);
}

/// Removes expired records of removed members and of silent VMs.
pub(super) fn expire_records(tick: &mut Tick<'_>) {
    let oldest_us = tick.now_us.saturating_sub(RETENTION_US);
    let tables = &mut *tick.tables;
    let membership = &mut tables.membership;
    if membership
        .last_expiry_us
        .is_some_and(|at_us| at_us > oldest_us)
    {
        return;
    }
    membership.last_expiry_us = Some(tick.now_us);
    membership
        .departed
        .retain(|_, row| row.since_us > oldest_us);
    membership
        .left
        .retain(|vm, _| membership.departed.contains_key(vm));
    tables.vms.retain(|_, row| row.last_heard_us > oldest_us);
}
