//! The platform's list of VMs, and replacement of the writers when all have ended.

use std::collections::BTreeSet;

use super::super::Tick;
use super::suspicion;
use crate::config::CoreSettings;
use crate::ids::VmName;
use crate::input::ListedVm;
use crate::tables::hash_name;

/// Additional delay for VMs that are no members, so that members replace the writers first.
const NON_MEMBER_DELAY_US: u64 = 8_000_000;

/// Maximum jitter between VMs that may replace the writers.
const JITTER_US: u64 = 2_000_000;

/// Seed that makes the hashes of the jitter differ from others.
const JITTER_HASH_SEED: u64 = 13;

/// Applies a new list from the platform.
///
/// Only VMs that were listed before count as missing, since the list lags
/// behind starting VMs.
pub(super) fn update_list(tick: &mut Tick<'_>, vms: Vec<ListedVm>) {
    let platform = &mut tick.tables.membership.platform;
    let leaving = vms.iter().filter(|status| status.leaving);
    platform.leaving = leaving.map(|status| status.vm.clone()).collect();
    let listed: BTreeSet<VmName> = vms.into_iter().map(|status| status.vm).collect();
    platform.delisted = platform.seen.difference(&listed).cloned().collect();
    platform.seen.extend(listed.iter().cloned());
    platform.listed = Some(listed);
    update_writers_missing(tick);
}

/// Returns the silent members that the platform no longer lists.
///
/// The list may be older than the VM's current incarnation, so a report of its
/// silence is required as well. In a small fleet the writer receives heartbeats
/// from every member and needs no report.
pub(super) fn missing_members(tick: &Tick<'_>) -> BTreeSet<VmName> {
    let tables = &*tick.tables;
    let is_mesh = !tables.membership.peers.is_tree;
    let is_silent = |vm: &VmName| {
        let has_report = tables.membership.suspicions.contains_key(vm);
        has_report || (is_mesh && !is_alive(tick, vm))
    };
    let delisted = tables.membership.platform.delisted.iter();
    delisted
        .filter(|vm| tables.view.member(vm).is_some())
        .filter(|vm| **vm != tick.settings.vm && is_silent(vm))
        .cloned()
        .collect()
}

/// Returns whether a member sent a message within half the suspicion timeout.
fn is_alive(tick: &Tick<'_>, vm: &VmName) -> bool {
    let limit_us = tick.settings.suspect_ms * 1_000 / 2;
    let row = tick.tables.vms.get(vm);
    suspicion::heard_recently(tick, vm)
        && row.is_some_and(|row| tick.now_us.saturating_sub(row.last_heard_us) <= limit_us)
}

/// Records since when all writers have ended.
///
/// Only writers issue confirmations, so one within the lease time shows that a
/// writer is alive, whatever the list says.
pub(super) fn update_writers_missing(tick: &mut Tick<'_>) {
    let (settings, tables) = (tick.settings, &*tick.tables);
    let age_us = tables.lease.age_us(tick.now_us);
    let is_confirmed = age_us.is_some_and(|age_us| age_us <= settings.lease_ms * 1_000);
    let writers = &tables.view.writers;
    let all_ended =
        !is_confirmed && !writers.is_empty() && writers.iter().all(|vm| has_ended(tick, vm));
    let since_us = &mut tick.tables.membership.writers_missing_since_us;
    if !all_ended {
        *since_us = None;
    } else if since_us.is_none() {
        *since_us = Some(tick.now_us);
    }
}

/// Returns whether a writer's process has ended: it was restarted, or its VM is no longer listed.
fn has_ended(tick: &Tick<'_>, vm: &VmName) -> bool {
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
        .member_with_incarnation(&tick.settings.vm, tick.settings.incarnation)
        .is_some();
    let platform = &tables.membership.platform;
    // A VM outside the view may have started after the writer left the list, so it
    // cannot require that the writer was listed before. It waits longer instead.
    let is_missing = if is_member {
        platform.delisted.contains(vm)
    } else {
        platform
            .listed
            .as_ref()
            .is_some_and(|listed| !listed.contains(vm))
    };
    is_missing && !is_alive(tick, vm)
}

/// Returns when this VM, which is no writer, may write the next view.
///
/// By then the writers' last promises have expired. Jitter keeps the VMs from
/// all writing at once.
pub(super) fn may_replace_writers_us(tick: &Tick<'_>) -> Option<u64> {
    let since_us = tick.tables.membership.writers_missing_since_us?;
    let settings = tick.settings;
    let is_member = tick
        .tables
        .view
        .member_with_incarnation(&settings.vm, settings.incarnation)
        .is_some();
    let non_member_us = if is_member { 0 } else { NON_MEMBER_DELAY_US };
    let jitter_us = hash_name(settings.vm.as_str(), JITTER_HASH_SEED) % JITTER_US;
    let wait_us = CoreSettings::with_clock_margin_us(settings.lease_ms);
    Some(since_us + wait_us + non_member_us + jitter_us)
}
