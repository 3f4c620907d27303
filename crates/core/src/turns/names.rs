//! Names that many stored turns have in common.

use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use super::StoredTurn;
use crate::ids::AccountName;

/// The names of accounts and the addresses of holders in stored turns, each held once.
///
/// Turns that are read from a disk or a message have texts of their own, which would take more
/// memory than their rows. Names of expired turns stay: there are few accounts and VMs.
#[derive(Debug, Default)]
pub(super) struct SharedNames {
    accounts: HashSet<AccountName>,
    addresses: HashSet<Arc<str>>,
}

impl SharedNames {
    /// Replaces the account and the holders of a turn by equal ones that are held already.
    pub fn share(&mut self, turn: &mut StoredTurn) {
        if let Some(account) = &mut turn.key.account {
            share(&mut self.accounts, account);
        }
        for address in &mut turn.copies {
            share(&mut self.addresses, address);
        }
    }
}

/// Replaces a name by an equal one of the set, or adds it.
fn share<T: Clone + Eq + Hash>(names: &mut HashSet<T>, name: &mut T) {
    match names.get(name) {
        Some(known) => *name = known.clone(),
        None => {
            names.insert(name.clone());
        }
    }
}
