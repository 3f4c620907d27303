//! Which VMs hold the origin of a stream.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::tables::hash_name;

/// VMs that get each origin, so that the loss of one leaves a copy.
pub const ORIGIN_COPIES: usize = 2;

/// VMs that are asked for an origin.
///
/// One more than hold it: a VM that was added since may have taken the place of one of them.
pub const ASKED_VMS: usize = ORIGIN_COPIES + 1;

/// Chooses `count` of the VMs at these addresses for a request ID, by rendezvous hashing.
///
/// The choice does not depend on the order of the addresses, and a VM that is added or removed
/// changes it only for the IDs of that VM.
pub fn choose_holders(id: &str, addresses: &[Arc<str>], count: usize) -> SmallVec<[Arc<str>; 4]> {
    let salt = hash_name(id, 0);
    let mut scored: SmallVec<[(u64, &Arc<str>); 8]> = addresses
        .iter()
        .map(|address| (hash_name(address, salt), address))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    let chosen = scored.into_iter().take(count);
    chosen.map(|(_, address)| Arc::clone(address)).collect()
}
