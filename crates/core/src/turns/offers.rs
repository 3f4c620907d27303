//! The turns that one VM with a disk offers to another one, and which of them the other one lacks.

use std::collections::{HashMap, HashSet};

/// Digests of turns that a VM is to hold, each of which goes on from the next one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OfferedChain {
    /// The turns that the VM is to hold, the youngest first.
    pub offered: Vec<u64>,
    /// The turns before them that it needs only with them, up to the start of the chain or to a
    /// turn that another chain of the same answer lists.
    pub before: Vec<u64>,
}

/// The turns that a VM is to hold, with the turns before them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Offers {
    /// The chains with the youngest turns first.
    pub chains: Vec<OfferedChain>,
    /// Digests of those turns that do not name the VM as one of their holders yet.
    pub unnamed: Vec<u64>,
    /// Number of the next turn that is stored; later offers may start at it.
    pub next_number: u64,
}

impl Offers {
    /// Returns the digests of the turns that a VM lacks that holds the `held` ones, each after the
    /// one it goes on from.
    ///
    /// Turns that do not name the VM come first, since they are on too few disks without it; then
    /// the youngest ones.
    pub fn lacking(&self, held: &HashSet<u64>) -> Vec<u64> {
        let previous: HashMap<u64, u64> = self.chains.iter().flat_map(links).collect();
        let mut lacking = Vec::new();
        let mut listed = HashSet::new();
        let offered = self.chains.iter().flat_map(|chain| &chain.offered);
        for digest in self.unnamed.iter().chain(offered) {
            let start = lacking.len();
            let mut next = Some(*digest);
            while let Some(digest) = next.filter(|row| !held.contains(row) && listed.insert(*row)) {
                lacking.push(digest);
                next = previous.get(&digest).copied();
            }
            lacking[start..].reverse();
        }
        lacking
    }
}

/// Returns each turn of a chain with the one it goes on from.
fn links(chain: &OfferedChain) -> impl Iterator<Item = (u64, u64)> {
    let digests = || chain.offered.iter().chain(&chain.before).copied();
    digests().zip(digests().skip(1))
}
