//! Quarantine of request contents, which refuses them on all VMs.

use super::super::Tick;
use crate::ids::{ContentDigest, VmName};
use crate::message::PlacementMessage;
use crate::output::Decision;
use crate::tables::{Quarantine, Suspect, Timer};

/// Quarantines a content on all VMs because it crashed an upstream on which it ran alone.
pub(super) fn quarantine_on_all_vms(tick: &mut Tick<'_>, digest: ContentDigest) {
    let for_ms = tick.settings.quarantine_ms;
    let crashes = tick
        .tables
        .suspects
        .get(&digest)
        .map_or(0, |row| row.crashes);
    tick.log(Decision::Quarantined {
        digest,
        for_ms,
        crashes,
    });
    quarantine_content(tick, digest, for_ms);
    let members = tick.tables.view.members.iter();
    let others: Vec<VmName> = members
        .map(|member| member.vm.clone())
        .filter(|vm| *vm != tick.settings.vm)
        .collect();
    for vm in others {
        tick.send(&vm, PlacementMessage::Quarantine { digest, for_ms });
    }
}

/// Refuses a content on this VM for the given time, or extends its quarantine.
pub(crate) fn quarantine_content(tick: &mut Tick<'_>, digest: ContentDigest, for_ms: u64) {
    let until_us = tick.now_us + for_ms * 1_000;
    let row = tick
        .tables
        .quarantine
        .get_or_insert_with(&digest, || Quarantine { until_us });
    row.until_us = row.until_us.max(until_us);
    let timer = Timer::QuarantineEnd(digest);
    tick.tables.timers.set(until_us, timer);
}

/// Ends a quarantine that has run out; the content must still run alone.
pub(super) fn expire_quarantine(tick: &mut Tick<'_>, digest: ContentDigest) {
    let row = tick.tables.quarantine.get(&digest);
    if row.is_none_or(|row| row.until_us > tick.now_us) {
        return;
    }
    tick.tables.quarantine.remove(&digest);
    if let Some(suspect) = tick.tables.suspects.get_mut(&digest) {
        suspect.crashes = suspect.crashes.min(Suspect::EXCLUSIVE_RUN_CRASHES);
    }
}
