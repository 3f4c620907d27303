//! What a VM hands to others of the turns on its disk.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use super::{Row, StoredTurn, StoredTurns};
use crate::turns::{HolderSet, OfferedChain, Offers};

impl StoredTurns {
    /// Returns turns for a VM that has lost its disk: those of which it had a copy, and the turns
    /// before them, in the order in which they can be stored.
    ///
    /// Starts at position `from` and stops after about `max_bytes`; also returns the position at
    /// which to go on, or `None` at the end.
    pub fn copies_of(
        &self,
        address: &str,
        from: u64,
        max_bytes: usize,
    ) -> (Vec<StoredTurn>, Option<u64>) {
        let is_copy = |row: &Row| row.turn.copies.iter().any(|copy| **copy == *address);
        let mut wanted = BTreeSet::new();
        for (_, row) in self.rows.iter().filter(|(_, row)| is_copy(row)) {
            let mut next = Some(row);
            while let Some(row) = next.filter(|row| wanted.insert(row.number)) {
                let previous = row.turn.previous_key();
                next = previous.and_then(|key| self.rows.get(&key));
            }
        }
        let mut turns = Vec::new();
        let mut bytes = 0;
        for number in wanted.range(from..) {
            if bytes >= max_bytes {
                return (turns, Some(*number));
            }
            let row = self.order.get(number).and_then(|key| self.rows.get(key));
            if let Some(row) = row {
                bytes += row.turn.content.len();
                turns.push(row.turn.clone());
            }
        }
        (turns, None)
    }

    /// Returns the digests of the turns that the VM at `asking` is to hold, the youngest first.
    ///
    /// `own` is the address of this VM.
    pub fn offers(&self, holders: &HolderSet, asking: &str, own: &str) -> Vec<u64> {
        let rows = self.order.values().rev();
        let rows = rows.filter_map(|key| self.rows.get(key));
        let offered = rows.filter(|row| holders.is_holder(&row.turn, asking, own));
        offered.map(|row| row.turn.key.digest()).collect()
    }

    /// Returns the turns that the VM at `asking` is to hold, with the turns before them.
    ///
    /// That VM has compared all turns that were stored before the one of `from_number`; of these,
    /// only those are offered that do not name it as a holder.
    pub fn offered_chains(
        &self,
        holders: &HolderSet,
        asking: &str,
        own: &str,
        from_number: u64,
    ) -> Offers {
        let is_named = |row: &Row| row.turn.copies.iter().any(|copy| **copy == *asking);
        let is_offered = |row: &Row| {
            let is_compared = row.number < from_number && is_named(row);
            !is_compared && holders.is_holder(&row.turn, asking, own)
        };
        let mut offers = Offers {
            next_number: self.next_number,
            ..Offers::default()
        };
        let mut listed = HashSet::new();
        for key in self.order.values().rev() {
            let row = self.rows.get(key);
            let Some(row) = row.filter(|row| is_offered(row)) else {
                continue;
            };
            if !is_named(row) {
                offers.unnamed.push(key.digest());
            }
            if listed.contains(&row.number) {
                continue;
            }
            let chain = self.offered_chain(row, is_offered, &mut listed);
            offers.chains.push(chain);
        }
        offers
    }

    /// Returns the chain of an offered turn up to a turn that is `listed` or to be listed by
    /// itself.
    fn offered_chain(
        &self,
        row: &Row,
        is_offered: impl Fn(&Row) -> bool,
        listed: &mut HashSet<u64>,
    ) -> OfferedChain {
        let mut chain = OfferedChain::default();
        let mut next = Some(row);
        while let Some(row) = next {
            let digest = row.turn.key.digest();
            let is_offered = is_offered(row);
            let starts_another = is_offered && !chain.before.is_empty();
            if starts_another || !listed.insert(row.number) {
                chain.before.push(digest);
                break;
            }
            match is_offered {
                true => chain.offered.push(digest),
                false => chain.before.push(digest),
            }
            let previous = row.turn.previous_key();
            next = previous.and_then(|key| self.rows.get(&key));
        }
        chain
    }

    /// Adds a VM to the holders that turns name.
    pub fn add_holder(&mut self, digests: &HashSet<u64>, address: &Arc<str>, holders: &HolderSet) {
        for (key, row) in self.rows.iter_mut() {
            if digests.contains(&key.digest()) {
                let bytes_before = row.turn.memory_bytes();
                holders.add_named(&mut row.turn.copies, address);
                let bytes = row.turn.memory_bytes();
                self.bytes = self.bytes - bytes_before + bytes;
                self.segments.resize(row.segment, bytes_before, bytes);
            }
        }
    }

    /// Returns the digests of all turns.
    pub fn digests(&self) -> HashSet<u64> {
        self.rows.iter().map(|(key, _)| key.digest()).collect()
    }

    /// Returns turns with their chains in the order in which they can be stored, the youngest
    /// chains if those of all these digests exceed `max_bytes`.
    pub fn chains_of(&self, digests: &HashSet<u64>, max_bytes: usize) -> Vec<StoredTurn> {
        let mut wanted = BTreeSet::new();
        let mut bytes = 0;
        for key in self.order.values().rev() {
            if bytes >= max_bytes {
                break;
            }
            if !digests.contains(&key.digest()) {
                continue;
            }
            let mut next = self.rows.get(key);
            while let Some(row) = next.filter(|row| wanted.insert(row.number)) {
                bytes += row.turn.content.len();
                let previous = row.turn.previous_key();
                next = previous.and_then(|key| self.rows.get(&key));
            }
        }
        let rows = wanted.iter().filter_map(|number| self.order.get(number));
        let rows = rows.filter_map(|key| self.rows.get(key));
        rows.map(|row| row.turn.clone()).collect()
    }

    /// Returns turns without those before them, in the order in which they can be stored; stops
    /// after about `max_bytes`.
    pub fn turns_of(&self, digests: &HashSet<u64>, max_bytes: usize) -> Vec<StoredTurn> {
        let mut turns = Vec::new();
        let mut bytes = 0;
        for key in self.order.values() {
            if bytes >= max_bytes || turns.len() == digests.len() {
                break;
            }
            let is_wanted = digests.contains(&key.digest());
            if let Some(row) = self.rows.get(key).filter(|_| is_wanted) {
                bytes += row.turn.content.len();
                turns.push(row.turn.clone());
            }
        }
        turns
    }

    /// Returns all turns in the order in which they can be stored, to hand them over.
    pub fn all(&self) -> Vec<StoredTurn> {
        let rows = self.order.values().filter_map(|key| self.rows.get(key));
        rows.map(|row| row.turn.clone()).collect()
    }
}
