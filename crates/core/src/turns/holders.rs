//! Which VMs with a disk are to hold a turn once one of them is lost, leaves or joins.

use std::sync::Arc;

use smallvec::SmallVec;

use super::StoredTurn;
use crate::origins::choose_holders;

/// Most VMs that a copied turn names as its holders.
const MAX_NAMED_HOLDERS: usize = 8;

/// Addresses of the VMs that are to hold a turn.
pub type Holders = SmallVec<[Arc<str>; 4]>;

/// A VM with a disk that may hold copies of turns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderVm {
    /// The address at which other VMs reach it.
    pub address: Arc<str>,
    /// Its region; the failure domain stands for a region that is not known.
    pub region: Arc<str>,
    /// Whether it does not answer, or is about to stop.
    pub is_lost: bool,
}

/// The VMs with a disk that one of them knows, itself included.
///
/// A turn needs no agreement about its holders: each VM decides for itself from the addresses that
/// the turn names and from the VMs that it knows. VMs that know different ones make a copy too
/// many, not one too few.
#[derive(Debug, Clone, Default)]
pub struct HolderSet {
    /// Sorted by address, one row each.
    vms: Vec<HolderVm>,
    needed_copies: usize,
}

impl HolderSet {
    /// Creates the set of these VMs, one more of which hold each turn than may be lost.
    pub fn new(mut vms: Vec<HolderVm>, tolerated_losses: usize) -> Self {
        vms.sort_by(|left, right| left.address.cmp(&right.address));
        // A VM that was started again under another name counts as one holder.
        vms.dedup_by(|other, kept| {
            let is_same = other.address == kept.address;
            kept.is_lost &= !is_same || other.is_lost;
            is_same
        });
        Self {
            vms,
            needed_copies: tolerated_losses + 1,
        }
    }

    /// Returns whether the VM at `address` is to hold a turn, as [`Self::holders_of`] has it.
    pub fn is_holder(&self, turn: &StoredTurn, address: &str, own: &str) -> bool {
        let named = self.living_named(turn);
        let is_named = named.iter().any(|vm| *vm.address == *address);
        if is_named || named.len() >= self.needed_copies {
            return is_named;
        }
        let holders = self.holders_of(turn, own);
        holders.iter().any(|holder| **holder == *address)
    }

    /// Returns the VMs that are to hold a turn: those that it names and that live, and more if
    /// these are too few.
    ///
    /// Copies stay in the regions that the turn is in, and in that of the VM at `own`, which has
    /// it: its account may allow no others.
    pub fn holders_of(&self, turn: &StoredTurn, own: &str) -> Holders {
        let is_named = |vm: &HolderVm| turn.copies.contains(&vm.address);
        let named = self.living_named(turn);
        let mut holders: Holders = named.iter().map(|vm| Arc::clone(&vm.address)).collect();
        let missing = self.needed_copies.saturating_sub(holders.len());
        if missing == 0 {
            return holders;
        }
        let is_in_region = |region: &str| {
            let vms = self.vms.iter().filter(|vm| *vm.region == *region);
            let mut vms = vms.filter(|vm| is_named(vm) || *vm.address == *own);
            vms.next().is_some()
        };
        let living = self.vms.iter().filter(|vm| !vm.is_lost);
        let candidates: Vec<Arc<str>> = living
            .filter(|vm| !is_named(vm) && is_in_region(&vm.region))
            .map(|vm| Arc::clone(&vm.address))
            .collect();
        holders.extend(choose_holders(turn.key.id.as_str(), &candidates, missing));
        holders
    }

    /// Adds a VM to the named holders of a turn, in place of one that is lost or unknown if they
    /// are too many.
    pub fn add_named(&self, named: &mut Holders, address: &Arc<str>) {
        if named.contains(address) {
            return;
        }
        if named.len() >= MAX_NAMED_HOLDERS {
            let gone = named.iter().position(|holder| !self.is_living(holder));
            let Some(gone) = gone else {
                return;
            };
            named.remove(gone);
        }
        named.push(Arc::clone(address));
    }

    /// Returns the VMs that a turn names and that live.
    fn living_named(&self, turn: &StoredTurn) -> SmallVec<[&HolderVm; 8]> {
        let mut living: SmallVec<[&HolderVm; 8]> = SmallVec::new();
        let named = turn.copies.iter().filter_map(|address| self.find(address));
        for vm in named.filter(|vm| !vm.is_lost) {
            if !living.iter().any(|known| known.address == vm.address) {
                living.push(vm);
            }
        }
        living
    }

    /// Returns whether a VM is known and answers.
    fn is_living(&self, address: &str) -> bool {
        self.find(address).is_some_and(|vm| !vm.is_lost)
    }

    /// Returns the VM at an address.
    fn find(&self, address: &str) -> Option<&HolderVm> {
        let row = self.vms.binary_search_by(|vm| (*vm.address).cmp(address));
        row.ok().map(|row| &self.vms[row])
    }
}
