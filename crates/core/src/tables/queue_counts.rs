//! Counts of waiting calls by rank, from which the work before a call is known without a scan.

use std::collections::BTreeMap;

use super::{Rank, UrgencyClass};

/// Bits of a time within one slot: a slot is about a quarter of a second.
///
/// Slots bound the cost of a sum: the times by which waiting calls are ordered lie within some
/// minutes, which are a few hundred slots.
const SLOT_SHIFT: u32 = 18;

/// Numbers of waiting calls.
#[derive(Debug, Default)]
pub(super) struct QueueCounts {
    /// By level of the rank and slot of the time by which calls of the level are ordered.
    by_slot: BTreeMap<(u64, u64), u32>,
    by_class: [u32; UrgencyClass::ALL.len()],
}

impl QueueCounts {
    pub(super) fn add(&mut self, rank: &Rank) {
        *self.by_slot.entry(slot_of(rank)).or_default() += 1;
        self.by_class[class_index(rank)] += 1;
    }

    pub(super) fn remove(&mut self, rank: &Rank) {
        let slot = slot_of(rank);
        if let Some(calls) = self.by_slot.get_mut(&slot) {
            *calls -= 1;
            if *calls == 0 {
                self.by_slot.remove(&slot);
            }
        }
        self.by_class[class_index(rank)] -= 1;
    }

    /// Returns the number of calls before a rank, without those of its own slot.
    pub(super) fn before(&self, rank: &Rank) -> u64 {
        let before = self.by_slot.range(..slot_of(rank));
        before.map(|(_, calls)| u64::from(*calls)).sum()
    }

    pub(super) fn in_class(&self, class: UrgencyClass) -> u32 {
        self.by_class[class as usize]
    }
}

fn slot_of(rank: &Rank) -> (u64, u64) {
    (rank.attained, rank.arrived_us >> SLOT_SHIFT)
}

fn class_index(rank: &Rank) -> usize {
    UrgencyClass::of_level(rank.attained) as usize
}
