//! Tracks the contents that were running when an upstream crashed.

use super::super::Tick;
use crate::ids::ContentDigest;
use crate::tables::{Suspect, Timer};

/// Returns the row of a content and restarts its retention time.
pub(super) fn touch_suspect<'a>(tick: &'a mut Tick<'_>, digest: ContentDigest) -> &'a mut Suspect {
    let now_us = tick.now_us;
    if !tick.tables.suspects.contains_key(&digest) {
        let due_us = now_us + retention_us(tick);
        let timer = Timer::SuspectIdle(digest);
        tick.tables.timers.set(due_us, timer);
    }
    let row = tick
        .tables
        .suspects
        .get_or_insert_with(&digest, Suspect::default);
    row.last_seen_us = now_us;
    row
}

/// Returns the retention time of a suspect, twice that of a quarantine.
///
/// A content that crashes again right after its quarantine thus still runs alone.
fn retention_us(tick: &Tick<'_>) -> u64 {
    tick.settings.quarantine_ms * 2_000
}

/// Raises a content's crash count to a reported one.
pub(crate) fn raise_crash_count(tick: &mut Tick<'_>, digest: ContentDigest, crashes: u32) {
    if crashes == 0 {
        return;
    }
    let row = touch_suspect(tick, digest);
    row.crashes = row.crashes.max(crashes);
}

/// Resets the crash count of a content that completed.
pub(crate) fn clear_crash_count(tick: &mut Tick<'_>, digest: &ContentDigest) {
    if tick.tables.suspects.is_empty() {
        return;
    }
    if let Some(suspect) = tick.tables.suspects.get_mut(digest) {
        suspect.crashes = 0;
    }
}

/// Removes the row of a content with no crashes and no pending examinations.
pub(super) fn remove_if_cleared(tick: &mut Tick<'_>, digest: &ContentDigest) {
    let suspect = tick.tables.suspects.get(digest);
    if suspect.is_some_and(|row| row.crashes == 0 && row.pending_examinations == 0) {
        tick.tables.suspects.remove(digest);
    }
}

/// Removes a suspect whose retention time is over and that no longer runs.
pub(super) fn expire_suspect(tick: &mut Tick<'_>, digest: ContentDigest) {
    let Some(suspect) = tick.tables.suspects.get(&digest) else {
        return;
    };
    let due_us = suspect.last_seen_us + retention_us(tick);
    if due_us <= tick.now_us && suspect.running == 0 {
        tick.tables.suspects.remove(&digest);
    } else {
        let timer = Timer::SuspectIdle(digest);
        tick.tables
            .timers
            .set(due_us.max(tick.now_us + 1_000_000), timer);
    }
}
