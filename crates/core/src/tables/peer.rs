//! What a VM knows of the others under `Coordination::Peers`.

use std::collections::VecDeque;
use std::sync::Arc;

use super::Table;
use crate::ids::{AccountName, Incarnation, Revision, UpstreamName, VmName};
use crate::message::ListStamp;

/// Rounds of summaries whose time is remembered.
const MAX_SENT_ROUNDS: usize = 64;

/// Another VM.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The start of its process; `None` until it is heard.
    pub incarnation: Option<Incarnation>,
    /// The address at which it takes summaries.
    pub address: Arc<str>,
    /// When it became known.
    pub known_us: u64,
    /// When its last summary arrived; `None` if none has.
    pub last_heard_us: Option<u64>,
    /// Whether it counts as one that shares the rates of accounts.
    pub is_reachable: bool,
    /// Its last summary.
    pub round: u64,
    /// The last summary of this VM that it has confirmed.
    pub acked_round: u64,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// The revision in force there.
    pub revision: Revision,
    /// The list of upstreams in force there.
    pub list: ListStamp,
    /// Its calls on upstreams.
    pub running: Vec<(UpstreamName, u32)>,
    /// Calls of accounts that it has admitted.
    pub admitted: Table<AccountName, u64>,
    /// Whether `admitted` holds its totals; those of its first summary are no new calls.
    pub has_admitted_baseline: bool,
}

impl Peer {
    /// Makes the row of a VM that has not been heard.
    pub fn new(address: &str, now_us: u64) -> Self {
        Self {
            incarnation: None,
            address: Arc::from(address),
            known_us: now_us,
            last_heard_us: None,
            is_reachable: false,
            round: 0,
            acked_round: 0,
            is_leaving: false,
            revision: Revision::default(),
            list: ListStamp::default(),
            running: Vec::new(),
            admitted: Table::default(),
            has_admitted_baseline: false,
        }
    }

    /// Returns when it was last heard, or when it became known.
    pub fn last_contact_us(&self) -> u64 {
        self.last_heard_us.unwrap_or(self.known_us)
    }
}

/// The exchange of summaries.
#[derive(Debug, Default)]
pub struct Peering {
    /// The other VMs.
    pub peers: Table<VmName, Peer>,
    /// The last round of summaries that was sent.
    pub round: u64,
    /// When the last rounds were sent.
    sent_rounds: VecDeque<(u64, u64)>,
    /// Calls that this VM has admitted, with the round that tells of the last change.
    pub admitted: Table<AccountName, (u64, u64)>,
    /// VMs that share the rates of accounts with this one, itself included.
    pub reachable_vms: u64,
    /// VMs that may be serving, this one included.
    pub known_vms: u64,
    /// The position of this VM among those that are heard, by name.
    pub rank: u64,
    /// When a snapshot was last asked for; `None` if none is under way.
    pub snapshot_requested_us: Option<u64>,
}

impl Peering {
    /// Returns the next round, which tells of what changes now.
    pub fn next_round(&self) -> u64 {
        self.round + 1
    }

    /// Starts a round.
    pub fn start_round(&mut self, now_us: u64) -> u64 {
        self.round += 1;
        self.sent_rounds.push_back((self.round, now_us));
        if self.sent_rounds.len() > MAX_SENT_ROUNDS {
            self.sent_rounds.pop_front();
        }
        self.round
    }

    /// Returns when a round was sent.
    pub fn sent_us(&self, round: u64) -> Option<u64> {
        let at = self
            .sent_rounds
            .binary_search_by_key(&round, |(round, _)| *round);
        at.ok().map(|at| self.sent_rounds[at].1)
    }

    /// Counts an admitted call.
    pub fn count_admitted(&mut self, account: &AccountName) {
        let round = self.next_round();
        let row = self.admitted.get_or_insert_with(account, || (0, round));
        *row = (row.0 + 1, round);
    }

    /// Takes back the count of an admitted call that did not run.
    pub fn uncount_admitted(&mut self, account: &AccountName) {
        let round = self.next_round();
        if let Some(row) = self.admitted.get_mut(account) {
            *row = (row.0.saturating_sub(1), round);
        }
    }

    /// Returns the part of an account's rate that the heard VMs may use, as a fraction.
    pub fn usable_fraction(&self) -> (u64, u64) {
        let known = self.known_vms.max(1);
        (self.reachable_vms.clamp(1, known), known)
    }
}
