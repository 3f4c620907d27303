//! Confirmations of the view, and promises of writers while the store does not answer.

use super::super::{Sender, Tick};
use crate::config::CoreSettings;
use crate::output::Decision;
use crate::tables::RequestKind;

/// Takes note that the view, or an older one, was in force at a moment.
pub(super) fn confirm(tick: &mut Tick<'_>, moment_us: u64) {
    let lease = &mut tick.tables.lease;
    if lease.confirmed_us.is_none_or(|known| known < moment_us) {
        lease.confirmed_us = Some(moment_us);
    }
    refresh(tick);
}

/// Sets the end of the lease; a VM that is no member has none.
pub(super) fn refresh(tick: &mut Tick<'_>) {
    let settings = tick.settings;
    let tables = &mut *tick.tables;
    let member = tables.view.member_at(&settings.vm, settings.incarnation);
    tables.lease.until_us = match (member, tables.lease.confirmed_us) {
        (Some(_), Some(confirmed_us)) => confirmed_us + settings.lease_ms * 1_000,
        _ => 0,
    };
}

/// Returns whether this VM, as a writer, promises to write no view.
///
/// It does so when the store does not answer it, or does not answer the other
/// writer. A view that was sent to the store and may still be written rules a
/// promise out.
pub(super) fn is_promising(tick: &Tick<'_>) -> bool {
    let (settings, tables) = (tick.settings, &*tick.tables);
    let store = &tables.membership.store;
    let writes =
        store.unresolved.is_some() || store.pending.is_some_and(|p| p.kind == RequestKind::Write);
    if writes || !tables.view.is_writer_at(&settings.vm, settings.incarnation) {
        return false;
    }
    // One touch has been missed by half its interval: no promise, which holds
    // view changes up, is made for a store that is only slow for a moment.
    let limit_us = settings.touch_ms * 1_000 * 3 / 2;
    let age_us = tables.lease.age_us(tick.now_us);
    if age_us.is_some_and(|age_us| age_us < limit_us) && !is_kept_by_promises(tick) {
        return false;
    }
    store.failures > 0 || is_touch_late(tick) || joins_promise(tick)
}

/// Returns whether the last confirmation came from promises and not from a touch.
fn is_kept_by_promises(tick: &Tick<'_>) -> bool {
    let membership = &tick.tables.membership;
    let promised = membership.store.failures > 0 && membership.promised_until_us > tick.now_us;
    promised || joins_promise(tick)
}

/// Returns whether a touch has waited for its answer for half the touch interval.
fn is_touch_late(tick: &Tick<'_>) -> bool {
    let pending = tick.tables.membership.store.pending;
    pending.is_some_and(|pending| {
        let waited_us = tick.now_us.saturating_sub(pending.sent_us);
        pending.kind == RequestKind::Touch && waited_us >= tick.settings.touch_ms * 500
    })
}

/// Returns whether this writer promises because the other one does.
///
/// A writer that the store has answered lately does not join in; otherwise two
/// writers would keep each other's promises up for ever.
fn joins_promise(tick: &Tick<'_>) -> bool {
    let updated_us = tick.tables.membership.store.updated_us;
    let limit_us = tick.settings.touch_ms * 1_500;
    let is_updated = |at_us: u64| tick.now_us.saturating_sub(at_us) < limit_us;
    !updated_us.is_some_and(is_updated) && hears_promise(tick)
}

/// Returns whether the other writer has promised to write no view lately.
pub(super) fn hears_promise(tick: &Tick<'_>) -> bool {
    let recent_us = tick.settings.heartbeat_ms * 2_500;
    let is_recent = |from_us: u64| tick.now_us.saturating_sub(from_us) < recent_us;
    let promises = &tick.tables.membership.promises;
    promises
        .iter()
        .any(|(vm, from_us)| *vm != tick.settings.vm && is_recent(*from_us))
}

/// Makes a promise if the store does not answer; returns whether one was made.
pub(super) fn promise(tick: &mut Tick<'_>) -> bool {
    if !is_promising(tick) {
        return false;
    }
    let kept_us = CoreSettings::with_margin_us(tick.settings.lease_ms);
    let membership = &mut tick.tables.membership;
    let is_first = membership.promised_until_us < tick.now_us;
    membership.promised_until_us = tick.now_us + kept_us;
    if is_first {
        tick.decide(Decision::PromiseMade);
    }
    true
}

/// Takes note of a promise of a writer.
pub(super) fn note_promise(tick: &mut Tick<'_>, sender: &Sender, from_us: u64) {
    if !tick
        .tables
        .view
        .is_writer_at(&sender.vm, sender.incarnation)
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

/// Extends the lease if every writer has promised to write no view.
pub(super) fn extend_by_promises(tick: &mut Tick<'_>) {
    let settings = tick.settings;
    let view = &tick.tables.view;
    let is_writer = view.is_writer(&settings.vm);
    // A writer that was restarted cannot promise anything for its former start.
    let is_restarted = is_writer && !view.is_writer_at(&settings.vm, settings.incarnation);
    if view.writers.is_empty() || is_restarted || (is_writer && !promise(tick)) {
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
    // The earliest promise counts; a missing one means that a view may be written.
    if let Some(from_us) = promised_us.min().flatten() {
        confirm(tick, from_us);
    }
}

/// Forgets promises of VMs that are no writers of the view in force.
pub(super) fn keep_writers(tick: &mut Tick<'_>) {
    let view = &tick.tables.view;
    let promises = &mut tick.tables.membership.promises;
    promises.retain(|(vm, _)| view.is_writer(vm));
}
