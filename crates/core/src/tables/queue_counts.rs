//! Counts of waiting calls by rank, from which the work before a call is known without a scan.

use super::{Rank, UrgencyClass};

/// Most ranks of one block.
///
/// With 10,000 calls, a count adds up the lengths of some 40 to 80 blocks, and an insertion moves
/// half a block.
const MAX_BLOCK: usize = 256;

/// The ranks of waiting calls in sorted blocks, which tell positions.
#[derive(Debug, Default)]
pub(super) struct QueueCounts {
    /// Blocks in order, none of them empty.
    blocks: Vec<Vec<Rank>>,
    by_class: [u32; UrgencyClass::ALL.len()],
}

impl QueueCounts {
    pub(super) fn add(&mut self, rank: &Rank) {
        self.by_class[class_index(rank)] += 1;
        let at = self.block_of(rank).min(self.blocks.len().saturating_sub(1));
        let Some(block) = self.blocks.get_mut(at) else {
            self.blocks.push(vec![*rank]);
            return;
        };
        let position = block.partition_point(|other| other < rank);
        block.insert(position, *rank);
        if block.len() > MAX_BLOCK {
            let upper = block.split_off(MAX_BLOCK / 2);
            self.blocks.insert(at + 1, upper);
        }
    }

    pub(super) fn remove(&mut self, rank: &Rank) {
        let at = self.block_of(rank);
        let Some(block) = self.blocks.get_mut(at) else {
            return;
        };
        let Ok(position) = block.binary_search(rank) else {
            return;
        };
        block.remove(position);
        self.by_class[class_index(rank)] -= 1;
        self.merge(at);
    }

    /// Joins a block that has become small with the one after it.
    fn merge(&mut self, at: usize) {
        if self.blocks[at].is_empty() {
            self.blocks.remove(at);
            return;
        }
        let next_len = self.blocks.get(at + 1).map_or(MAX_BLOCK, Vec::len);
        if self.blocks[at].len() + next_len <= MAX_BLOCK / 2 {
            let next = self.blocks.remove(at + 1);
            self.blocks[at].extend(next);
        }
    }

    /// Returns the number of calls before a rank.
    pub(super) fn before(&self, rank: &Rank) -> u64 {
        let at = self.block_of(rank);
        let whole: usize = self.blocks[..at].iter().map(Vec::len).sum();
        let block = self.blocks.get(at);
        let part = block.map_or(0, |block| block.partition_point(|other| other < rank));
        (whole + part) as u64
    }

    pub(super) fn in_class(&self, class: UrgencyClass) -> u32 {
        self.by_class[class as usize]
    }

    /// Returns the first block that ends at a rank or after it.
    fn block_of(&self, rank: &Rank) -> usize {
        self.blocks
            .partition_point(|block| block.last().is_some_and(|last| last < rank))
    }
}

fn class_index(rank: &Rank) -> usize {
    UrgencyClass::of_level(rank.attained) as usize
}
