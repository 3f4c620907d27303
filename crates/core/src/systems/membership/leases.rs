//! Lease renewal by confirmations of the view, or by promises of the writers
//! while the store does not answer.

use super::super::{Sender, Tick};
use crate::config::CoreSettings;
use crate::output::MembershipDecision;
use crate::tables::StoreRequestKind;

/// Records that the view, or an older one, was in force at a time, and renews the lease.
pub(super) fn confirm(tick: &mut Tick<'_>, time_us: u64) {
    let lease = &mut tick.tables.lease;
    if lease.confirmed_us.is_none_or(|known| known < time_us) {
        lease.confirmed_us = Some(time_us);
    }
    update_expiry(tick);
}

/// Recomputes when the lease expires; a VM that is no member has no lease.
pub(super) fn update_expiry(tick: &mut Tick<'_>) {
    let settings = tick.settings;
    let tables = &mut *tick.tables;
    let member = tables
        .view
        .member_with_incarnation(&settings.vm, settings.incarnation);
    tables.lease.until_us = match (member, tables.lease.confirmed_us) {
        (Some(_), Some(confirmed_us)) => confirmed_us + settings.lease_ms * 1_000,
        _ => 0,
    };
}

/// Returns whether this VM, as a writer, should promise to write no view.
///
/// It should when the store does not answer it or the other writer. No promise
/// is possible while a view sent to the store may still be written.
pub(super) fn should_promise(tick: &Tick<'_>) -> bool {
    let (settings, tables) = (tick.settings, &*tick.tables);
    let store = &tables.membership.store;
    let writes = store.unresolved.is_some()
        || store
            .pending
            .is_some_and(|p| p.kind == StoreRequestKind::Write);
    if writes
        || !tables
            .view
            .is_writer_with_incarnation(&settings.vm, settings.incarnation)
    {
        return false;
    }
    // A promise delays view changes, so a brief slowdown of the store must not
    // cause one: wait until a touch is half an interval overdue.
    let limit_us = settings.touch_ms * 1_000 * 3 / 2;
    let age_us = tables.lease.age_us(tick.now_us);
    if age_us.is_some_and(|age_us| age_us < limit_us) && !is_extended_by_promises(tick) {
        return false;
    }
    store.failures > 0 || is_touch_late(tick) || should_follow_promise(tick)
}

/// Returns whether promises rather than touches keep the lease alive.
fn is_extended_by_promises(tick: &Tick<'_>) -> bool {
    let membership = &tick.tables.membership;
    let promised = membership.store.failures > 0 && membership.promised_until_us > tick.now_us;
    promised || should_follow_promise(tick)
}

/// Returns whether a touch has been pending for half the touch interval.
fn is_touch_late(tick: &Tick<'_>) -> bool {
    let pending = tick.tables.membership.store.pending;
    pending.is_some_and(|pending| {
        let waited_us = tick.now_us.saturating_sub(pending.sent_us);
        pending.kind == StoreRequestKind::Touch && waited_us >= tick.settings.touch_ms * 500
    })
}

/// Returns whether this writer should promise because the other one did.
///
/// A writer whose update recently reached the store does not follow; otherwise
/// two writers would renew each other's promises forever.
fn should_follow_promise(tick: &Tick<'_>) -> bool {
    let updated_us = tick.tables.membership.store.updated_us;
    let limit_us = tick.settings.touch_ms * 1_500;
    let is_recent_update = |at_us: u64| tick.now_us.saturating_sub(at_us) < limit_us;
    !updated_us.is_some_and(is_recent_update) && has_recent_promise(tick)
}

/// Returns whether the other writer recently promised to write no view.
pub(super) fn has_recent_promise(tick: &Tick<'_>) -> bool {
    let recent_us = tick.settings.heartbeat_ms * 2_500;
    let is_recent = |from_us: u64| tick.now_us.saturating_sub(from_us) < recent_us;
    let promises = &tick.tables.membership.promises;
    promises
        .iter()
        .any(|(vm, from_us)| *vm != tick.settings.vm && is_recent(*from_us))
}

/// Makes or renews a promise if the store does not answer; returns whether it did.
pub(super) fn make_promise(tick: &mut Tick<'_>) -> bool {
    if !should_promise(tick) {
        return false;
    }
    let duration_us = CoreSettings::with_clock_margin_us(tick.settings.lease_ms);
    let membership = &mut tick.tables.membership;
    let is_first = membership.promised_until_us < tick.now_us;
    membership.promised_until_us = tick.now_us + duration_us;
    if is_first {
        tick.log(MembershipDecision::PromiseMade);
    }
    true
}

/// Records a promise of a writer, valid from `from_us`.
pub(super) fn record_promise(tick: &mut Tick<'_>, sender: &Sender, from_us: u64) {
    if !tick
        .tables
        .view
        .is_writer_with_incarnation(&sender.vm, sender.incarnation)
    {
        return;
    }
    let promises = &mut tick.tables.membership.promises;
    match promises.iter_mut().find(|(vm, _)| *vm == sender.vm) {
        Some((_, known_us)) => *known_us = from_us.max(*known_us),
        None => promises.push((sender.vm.clone(), from_us)),
    }
    extend_by_promises(tick);
}

/// Renews the lease if every writer has promised to write no view.
pub(super) fn extend_by_promises(tick: &mut Tick<'_>) {
    let settings = tick.settings;
    let view = &tick.tables.view;
    let is_writer = view.is_writer(&settings.vm);
    // A restarted writer cannot promise on behalf of its previous incarnation.
    let is_restarted =
        is_writer && !view.is_writer_with_incarnation(&settings.vm, settings.incarnation);
    if view.writers.is_empty() || is_restarted || (is_writer && !make_promise(tick)) {
        return;
    }
    let now_us = tick.now_us;
    let promises = &tick.tables.membership.promises;
    let promised_us = tick.tables.view.writers.iter().map(|writer| {
        if *writer == tick.settings.vm {
            return Some(now_us);
        }
        let promise = promises.iter().find(|(vm, _)| vm == writer);
        promise.map(|(_, from_us)| *from_us)
    });
    // The lease counts from the earliest promise. Without one from every writer, a
    // view may still be written.
    if let Some(from_us) = promised_us.min().flatten() {
        confirm(tick, from_us);
    }
}

/// Removes promises of VMs that are not writers of the view in force.
pub(super) fn remove_stale_promises(tick: &mut Tick<'_>) {
    let view = &tick.tables.view;
    let promises = &mut tick.tables.membership.promises;
    promises.retain(|(vm, _)| view.is_writer(vm));
}
