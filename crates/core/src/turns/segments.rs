//! How much of each log segment is still kept.

use std::collections::BTreeMap;

/// Part of a segment that its expired turns must have for them to be removed from it, as a divisor.
/// Three bytes are written at most for each one that this frees.
const EXPIRED_DIVISOR: usize = 4;

/// The turns of one segment.
#[derive(Debug, Default)]
struct Segment {
    kept_turns: usize,
    /// Memory of the kept turns in bytes.
    kept_bytes: usize,
    /// Memory that all of its turns take after a start, in bytes.
    all_bytes: usize,
}

/// The log segments with kept turns.
#[derive(Debug, Default)]
pub(super) struct Segments {
    rows: BTreeMap<u64, Segment>,
    /// Memory that the turns of all segments take after a start, in bytes.
    bytes: usize,
}

impl Segments {
    /// Adds a turn of this size to a segment.
    pub fn add(&mut self, segment: u64, turn_bytes: usize) {
        let row = self.rows.entry(segment).or_default();
        row.kept_turns += 1;
        row.kept_bytes += turn_bytes;
        row.all_bytes += turn_bytes;
        self.bytes += turn_bytes;
    }

    /// Notes that a kept turn of a segment takes another size than before.
    pub fn resize(&mut self, segment: u64, bytes_before: usize, bytes: usize) {
        if let Some(row) = self.rows.get_mut(&segment) {
            row.kept_bytes = row.kept_bytes - bytes_before + bytes;
            row.all_bytes = row.all_bytes - bytes_before + bytes;
            self.bytes = self.bytes - bytes_before + bytes;
        }
    }

    /// Notes that a turn is no longer kept in a segment; returns whether none is left in it.
    pub fn remove(&mut self, segment: u64, turn_bytes: usize) -> bool {
        let Some(row) = self.rows.get_mut(&segment) else {
            return false;
        };
        row.kept_turns -= 1;
        row.kept_bytes -= turn_bytes;
        if row.kept_turns > 0 {
            return false;
        }
        self.bytes -= row.all_bytes;
        self.rows.remove(&segment);
        true
    }

    /// Notes that a segment has only turns of this size together.
    pub fn set_bytes(&mut self, segment: u64, all_bytes: usize) {
        if let Some(row) = self.rows.get_mut(&segment) {
            self.bytes = self.bytes - row.all_bytes + all_bytes;
            row.all_bytes = all_bytes;
        }
    }

    /// Returns whether a segment holds a kept turn.
    pub fn is_used(&self, segment: u64) -> bool {
        self.rows.contains_key(&segment)
    }

    /// Returns the memory that the turns of all segments take after a start, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the segment with the largest part of expired turns, if it is large enough. The last
    /// segment is left out, since it may still be written.
    pub fn sparsest(&self) -> Option<u64> {
        let earlier = self.rows.iter().rev().skip(1);
        let sparse = earlier.filter(|(_, row)| {
            let expired_bytes = row.all_bytes - row.kept_bytes;
            expired_bytes * EXPIRED_DIVISOR >= row.all_bytes
        });
        let sparsest = sparse.min_by_key(|(_, row)| row.kept_bytes * 1_000 / row.all_bytes);
        sparsest.map(|(segment, _)| *segment)
    }
}
