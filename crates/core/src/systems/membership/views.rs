//! Adopts views and passes them on.

use std::sync::Arc;

use super::super::{Sender, Tick};
use super::{leases, peers};
use crate::ids::{Epoch, VmName};
use crate::message::MembershipMessage;
use crate::output::Decision;
use crate::tables::{Departed, PastView, Timer, View, ViewChange, ViewDelta, Vm};

/// Changes that are kept for VMs that missed them; others get the whole view.
const KEPT_DELTAS: usize = 64;

/// Views that are kept for the takeover wait.
///
/// Owners of views before these count as unknown, which only lengthens waits.
const KEPT_VIEWS: usize = 16;

/// Time after which a view is asked for again.
const ASK_AGAIN_US: u64 = 200_000;

/// How long removed members and silent strangers are remembered.
const REMEMBERED_US: u64 = 60_000_000;

/// Adopts a view if it is newer; returns whether it was.
pub(super) fn adopt(tick: &mut Tick<'_>, view: &View) -> bool {
    if view.epoch <= tick.tables.view.epoch {
        return false;
    }
    let now_us = tick.now_us;
    let before = std::mem::replace(&mut tick.tables.view, view.clone());
    let since_us = std::mem::replace(&mut tick.tables.membership.view_since_us, now_us);
    report_change(tick, &before);
    keep_delta(tick, &before);
    keep_past(tick, before, since_us);
    raise_incarnations(tick);
    forget_proposals(tick);
    peers::choose(tick);
    leases::keep_writers(tick);
    leases::refresh(tick);
    tick.decide(Decision::ViewChanged {
        epoch: view.epoch,
        members: view.members.len(),
    });
    pass_on(tick);
    true
}

/// Tells the other systems what changed, and remembers who was removed.
fn report_change(tick: &mut Tick<'_>, before: &View) {
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
    let is_me = |member: &&crate::tables::Member| {
        member.vm == settings.vm && member.incarnation == settings.incarnation
    };
    let lost_membership = removed.iter().any(|member| is_me(&member));
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

/// Keeps the difference for VMs that know the view before.
fn keep_delta(tick: &mut Tick<'_>, before: &View) {
    let delta = before.delta_to(&tick.tables.view);
    let deltas = &mut tick.tables.membership.deltas;
    deltas.push_back(delta);
    if deltas.len() > KEPT_DELTAS {
        deltas.pop_front();
    }
}

/// Keeps the view before until the takeover wait is over.
fn keep_past(tick: &mut Tick<'_>, before: View, since_us: u64) {
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
    if past.len() > KEPT_VIEWS {
        past.pop_front();
    }
}

/// Takes note of process starts that the view names.
fn raise_incarnations(tick: &mut Tick<'_>) {
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

/// Forgets joins, departures and reports that the view has taken up.
fn forget_proposals(tick: &mut Tick<'_>) {
    let tables = &mut *tick.tables;
    let (view, membership) = (&tables.view, &mut tables.membership);
    membership
        .joins
        .retain(|vm, (member, _)| view.member_at(vm, member.incarnation).is_none());
    membership
        .suspects
        .retain(|vm, suspect| view.member_at(vm, suspect.incarnation).is_some());
    membership
        .leaving
        .retain(|vm, incarnation| view.member_at(vm, *incarnation).is_some());
    membership.writers_gone_us = None;
    membership.change_wanted_us = None;
    membership.view_asked = None;
}

/// Passes a new view on to those who asked this VM lately and do not know it.
///
/// In a small fleet only the writer does, since heartbeats reach everybody soon.
fn pass_on(tick: &mut Tick<'_>) {
    let tables = &*tick.tables;
    let epoch = tables.view.epoch;
    let is_writer = tables.view.is_writer(&tick.settings.vm);
    if !tables.membership.peers.is_tree && !is_writer {
        return;
    }
    let kept_us = tick.settings.suspect_ms * 1_000;
    let oldest_us = tick.now_us.saturating_sub(kept_us);
    let behind: Vec<(VmName, Epoch)> = tables
        .vms
        .iter()
        .filter(|(_, row)| row.epoch < epoch)
        .filter(|(_, row)| row.asked.is_some_and(|asked| asked.at_us >= oldest_us))
        .map(|(vm, row)| (vm.clone(), row.epoch))
        .collect();
    for (vm, known) in behind {
        send_view(tick, &vm, known);
    }
}

/// Sends the view to members that it has just added.
pub(super) fn welcome(tick: &mut Tick<'_>) {
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
pub(super) fn request(tick: &mut Tick<'_>, vm: &VmName, known: Epoch) {
    if known < tick.tables.view.epoch {
        send_view(tick, vm, known);
    }
}

/// Sends the changes since a view, or the whole view if they are not kept.
fn send_view(tick: &mut Tick<'_>, vm: &VmName, known: Epoch) {
    let deltas: Vec<ViewDelta> = tick
        .tables
        .membership
        .deltas
        .iter()
        .skip_while(|delta| delta.from != known)
        .cloned()
        .collect();
    // The first difference is the whole view as seen from no view at all.
    let message = if deltas.is_empty() || known == Epoch::default() {
        MembershipMessage::ViewIs(Arc::new(tick.tables.view.clone()))
    } else {
        MembershipMessage::ViewChanges(deltas)
    };
    tick.send(vm, message);
}

/// Asks for a view that another VM knows and this one does not.
pub(super) fn note_epoch(tick: &mut Tick<'_>, vm: &VmName, epoch: Epoch) {
    let (now_us, known) = (tick.now_us, tick.tables.view.epoch);
    if epoch <= known {
        return;
    }
    let asked = &mut tick.tables.membership.view_asked;
    if asked.is_some_and(|(asked, at_us)| asked >= epoch && now_us < at_us + ASK_AGAIN_US) {
        return;
    }
    *asked = Some((epoch, now_us));
    tick.send(vm, MembershipMessage::ViewRequest { known });
}

/// Adopts a view given by its changes.
pub(super) fn adopt_deltas(tick: &mut Tick<'_>, sender: &Sender, deltas: &[ViewDelta]) {
    let mut view: Option<View> = None;
    for delta in deltas {
        let from = view.as_ref().unwrap_or(&tick.tables.view);
        if let Some(after) = from.with_delta(delta) {
            view = Some(after);
        }
    }
    match view {
        Some(view) => {
            adopt(tick, &view);
        }
        None => {
            let newest = deltas.last().map_or(Epoch::default(), |delta| delta.to);
            note_epoch(tick, &sender.vm, newest);
        }
    }
}

/// Forgets removed members and silent strangers after a while.
pub(super) fn forget_old(tick: &mut Tick<'_>) {
    let oldest_us = tick.now_us.saturating_sub(REMEMBERED_US);
    let tables = &mut *tick.tables;
    let membership = &mut tables.membership;
    if membership
        .forgotten_us
        .is_some_and(|at_us| at_us > oldest_us)
    {
        return;
    }
    membership.forgotten_us = Some(tick.now_us);
    membership
        .departed
        .retain(|_, row| row.since_us > oldest_us);
    membership
        .left
        .retain(|vm, _| membership.departed.contains_key(vm));
    tables
        .vms
        .retain(|vm, row| row.heard_us > oldest_us || tables.view.member(vm).is_some());
}
