//! Proposes the next view.

use std::collections::BTreeSet;

use super::super::Tick;
use super::{joining, platform, suspicion};
use crate::ids::{Epoch, VmName};
use crate::tables::{Member, View, hash_name};

/// Time for which joins are batched, so that a starting fleet needs few views.
const JOIN_BATCH_US: u64 = 20_000;

/// Seed that makes the hashes that choose writers differ from others.
const WRITER_HASH_SEED: u64 = 14;

/// The number of writers of a view.
const WRITER_COUNT: usize = 2;

/// A view that should be written next.
#[derive(Debug)]
pub(super) struct Proposal {
    /// The proposed view.
    pub view: View,
    /// The earliest time at which it may be written.
    pub due_us: u64,
}

/// Returns the next view if the current one has to change and this VM may write it.
pub(super) fn propose(tick: &mut Tick<'_>) -> Option<Proposal> {
    let settings = tick.settings;
    if !has_change_trigger(tick) {
        tick.tables.membership.change_wanted_since_us = None;
        return None;
    }
    let view = &tick.tables.view;
    let is_writer = view.is_writer_with_incarnation(&settings.vm, settings.incarnation);
    let allowed_us = if is_writer {
        tick.now_us
    } else {
        platform::may_replace_writers_us(tick)?
    };
    suspicion::expire_suspicions(tick);
    let removed = removed_members(tick, is_writer);
    let view = next_view(tick, &removed);
    if view.members.is_empty() {
        return None;
    }
    let membership = &mut tick.tables.membership;
    let is_behind = membership.store.is_behind;
    let current = &tick.tables.view;
    if view.members == current.members && view.writers == current.writers && !is_behind {
        membership.change_wanted_since_us = None;
        return None;
    }
    let wanted_us = *membership.change_wanted_since_us.get_or_insert(tick.now_us);
    let due_us = if is_writer {
        wanted_us + write_delay_us(tick, &removed)
    } else {
        allowed_us
    };
    Some(Proposal {
        view,
        due_us: due_us.max(tick.tables.membership.promised_until_us),
    })
}

/// Returns whether anything may require a new view.
fn has_change_trigger(tick: &Tick<'_>) -> bool {
    let (view, membership) = (&tick.tables.view, &tick.tables.membership);
    let lacks_writers = view.writers.len() < WRITER_COUNT.min(view.members.len());
    lacks_writers
        || membership.store.is_behind
        || membership.writers_missing_since_us.is_some()
        || !membership.join_requests.is_empty()
        || !membership.suspicions.is_empty()
        || !membership.leaving.is_empty()
        || !membership.platform.delisted.is_empty()
        || !membership.platform.leaving.is_empty()
}

/// Returns the first view of a fleet, with this VM as its only member.
pub(super) fn first_view(tick: &Tick<'_>) -> View {
    let epoch = Epoch::default().next();
    let member = joining::own_member(tick, epoch);
    View {
        epoch,
        writers: smallvec::smallvec![member.vm.clone()],
        members: vec![member],
    }
}

/// Returns the members that the next view leaves out.
fn removed_members(tick: &Tick<'_>, is_writer: bool) -> BTreeSet<VmName> {
    let tables = &*tick.tables;
    let mut removed = platform::missing_members(tick);
    let failed = suspicion::failed_members(tick, &removed);
    removed.extend(failed);
    removed.extend(tables.membership.leaving.keys().cloned());
    if !is_writer {
        // A VM that is no writer proposes a view only when all writers have ended.
        removed.extend(tables.view.writers.iter().cloned());
    }
    removed
}

/// Builds the next view from the current one, the removed members and the pending joins.
fn next_view(tick: &Tick<'_>, removed: &BTreeSet<VmName>) -> View {
    let tables = &*tick.tables;
    let mut view = tables.view.clone();
    view.epoch = view.epoch.next();
    view.members.retain(|member| !removed.contains(&member.vm));
    for member in joining::pending_joins(tick) {
        view.insert_member(Member {
            joined: view.epoch,
            ..member
        });
    }
    let settings = tick.settings;
    let is_draining = tables.membership.departure.is_draining;
    if !is_draining
        && view
            .member_with_incarnation(&settings.vm, settings.incarnation)
            .is_none()
    {
        view.insert_member(joining::own_member(tick, view.epoch));
    }
    for member in &mut view.members {
        member.leaving = tables.membership.platform.leaving.contains(&member.vm);
    }
    if view.members.is_empty()
        && let Some(last) = tables
            .view
            .member_with_incarnation(&settings.vm, settings.incarnation)
    {
        // All members are leaving: this writer stays until the others are removed.
        view.insert_member(last.clone());
    }
    choose_writers(&mut view, &tables.view);
    view
}

/// Keeps the writers that remain members and adds missing ones, preferably from
/// different failure domains.
///
/// Members that the platform is about to remove are chosen last.
fn choose_writers(view: &mut View, current: &View) {
    let members = &view.members;
    let remains = |vm: &VmName| {
        let incarnation = current.member(vm).map(|member| member.incarnation);
        incarnation.is_some_and(|incarnation| {
            members.iter().any(|member| {
                member.vm == *vm && member.incarnation == incarnation && !member.leaving
            })
        })
    };
    let mut writers = current.writers.clone();
    writers.retain(|vm| remains(vm));
    while writers.len() < WRITER_COUNT.min(members.len()) {
        let domain = writers.first().and_then(|vm| {
            let writer = members.iter().find(|member| member.vm == *vm);
            writer.map(|writer| &writer.failure_domain)
        });
        let next = members
            .iter()
            .filter(|member| !writers.contains(&member.vm))
            .max_by_key(|member| {
                let is_other_domain = Some(&member.failure_domain) != domain;
                (
                    !member.leaving,
                    is_other_domain,
                    hash_name(member.vm.as_str(), WRITER_HASH_SEED),
                )
            });
        let Some(next) = next else {
            break;
        };
        writers.push(next.vm.clone());
    }
    view.writers = writers;
}

/// Returns how long this writer waits before it writes the next view.
fn write_delay_us(tick: &Tick<'_>, removed: &BTreeSet<VmName>) -> u64 {
    let (settings, tables) = (tick.settings, &*tick.tables);
    let first = tables.view.writers.first();
    let is_first = first == Some(&settings.vm);
    let is_first_removed = first.is_some_and(|vm| removed.contains(vm));
    let leaving = &tables.membership.leaving;
    let lost = removed
        .iter()
        .filter(|vm| !leaving.contains_key(*vm))
        .count();
    if lost * 2 >= tables.view.members.len() {
        // With half of the members lost, this VM may itself be the isolated one, so
        // the other side gets the time to write first.
        return (settings.lease_ms + settings.suspect_ms) * 1_000;
    }
    if !is_first && !is_first_removed {
        // The first writer normally writes the view; this delay covers the case that it cannot.
        return settings.touch_ms * 2_000;
    }
    if removed.is_empty() { JOIN_BATCH_US } else { 0 }
}
