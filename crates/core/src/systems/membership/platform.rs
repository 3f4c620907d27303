//! The platform's list of VMs, and the death of all writers.

use std::collections::BTreeSet;

use super::super::Tick;
use super::suspicion;
use crate::config::CoreSettings;
use crate::ids::VmName;
use crate::input::VmStatus;
use crate::tables::hash_name;

/// How much later VMs that are no members replace the writers, so that members come first.
const OUTSIDER_DELAY_US: u64 = 8_000_000;

/// Time over which VMs that may replace the writers are spread.
const SPREAD_US: u64 = 2_000_000;

/// Keeps the hashes of the spread apart from others.
const REPLACEMENT: u64 = 13;

/// Takes the platform's list over.
///
/// A VM that was never on the list is not gone: the list lags.
pub(super) fn handle(tick: &mut Tick<'_>, vms: Vec<VmStatus>) {
    let platform = &mut tick.tables.membership.platform;
    let listed: BTreeSet<VmName> = vms.into_iter().map(|status| status.vm).collect();
    platform.gone = platform.seen.difference(&listed).cloned().collect();
    platform.seen.extend(listed.iter().cloned());
    platform.listed = Some(listed);
    check_writers(tick);
}

/// Returns the members that the platform calls gone and that are silent.
pub(super) fn gone(tick: &Tick<'_>) -> BTreeSet<VmName> {
    let tables = &*tick.tables;
    let gone = tables.membership.platform.gone.iter();
    gone.filter(|vm| tables.view.member(vm).is_some())
        .filter(|vm| **vm != tick.settings.vm && !is_alive(tick, vm))
        .cloned()
        .collect()
}

/// Returns whether a member that is missing from the list was heard after all.
fn is_alive(tick: &Tick<'_>, vm: &VmName) -> bool {
    let limit_us = tick.settings.suspect_ms * 1_000 / 2;
    let row = tick.tables.vms.get(vm);
    suspicion::is_heard(tick, vm)
        && row.is_some_and(|row| tick.now_us.saturating_sub(row.heard_us) <= limit_us)
}

/// Takes note of when all writers are gone.
pub(super) fn check_writers(tick: &mut Tick<'_>) {
    let view = &tick.tables.view;
    let all_gone = !view.writers.is_empty() && view.writers.iter().all(|vm| is_gone(tick, vm));
    let since_us = &mut tick.tables.membership.writers_gone_us;
    if !all_gone {
        *since_us = None;
    } else if since_us.is_none() {
        *since_us = Some(tick.now_us);
    }
}

/// Returns whether a writer's process has ended: it was started again, or its VM is gone.
fn is_gone(tick: &Tick<'_>, vm: &VmName) -> bool {
    let tables = &*tick.tables;
    let Some(member) = tables.view.member(vm) else {
        return true;
    };
    if *vm == tick.settings.vm {
        return member.incarnation != tick.settings.incarnation;
    }
    let row = tables.vms.get(vm);
    if row.is_some_and(|row| row.incarnation > member.incarnation) {
        return true;
    }
    let is_member = tables
        .view
        .member_at(&tick.settings.vm, tick.settings.incarnation)
        .is_some();
    let platform = &tables.membership.platform;
    // A VM outside the view may have started after a writer went; it waits longer.
    let is_missing = if is_member {
        platform.gone.contains(vm)
    } else {
        platform
            .listed
            .as_ref()
            .is_some_and(|listed| !listed.contains(vm))
    };
    is_missing && !is_alive(tick, vm)
}

/// Returns from when this VM, which is no writer, may write the next view.
///
/// The writers' last promises have ended by then, and VMs follow one another
/// so that not all of them write at once.
pub(super) fn replaces_writers_us(tick: &Tick<'_>) -> Option<u64> {
    let since_us = tick.tables.membership.writers_gone_us?;
    let settings = tick.settings;
    let is_member = tick
        .tables
        .view
        .member_at(&settings.vm, settings.incarnation)
        .is_some();
    let outside_us = if is_member { 0 } else { OUTSIDER_DELAY_US };
    let spread_us = hash_name(settings.vm.as_str(), REPLACEMENT) % SPREAD_US;
    let wait_us = CoreSettings::with_margin_us(settings.lease_ms);
    Some(since_us + wait_us + outside_us + spread_us)
}
