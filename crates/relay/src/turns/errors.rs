//! Why the turns before a request cannot be used, or a turn cannot be stored.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use knapweeddale_core::turns::TurnAnswer;
use smallvec::SmallVec;

/// What a VM with a disk has said about a turn so far.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FetchState {
    /// It was asked and has not answered yet.
    #[display("waiting")]
    Waiting,
    /// It never stored the turn, or the turn has expired.
    #[display("absent")]
    Absent,
    /// It lacks the turn, but may have lost it with its disk.
    #[display("may have lost it")]
    MayHaveLost,
    /// The request failed.
    #[display("no answer")]
    NoAnswer,
}

impl From<FetchState> for TurnAnswer {
    fn from(state: FetchState) -> Self {
        match state {
            FetchState::Absent => Self::Absent,
            FetchState::Waiting | FetchState::MayHaveLost | FetchState::NoAnswer => Self::Unknown,
        }
    }
}

/// The answers to one lookup, in the order in which the VMs were asked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct FetchStates(SmallVec<[(Arc<str>, FetchState); 4]>);

impl FetchStates {
    /// Records that the VMs at these addresses were asked.
    pub fn ask(&mut self, addresses: &[Arc<str>]) {
        let asked = addresses.iter();
        self.0
            .extend(asked.map(|address| (Arc::clone(address), FetchState::Waiting)));
    }

    /// Records what the VM at an address answered.
    pub fn record(&mut self, address: &Arc<str>, state: FetchState) {
        let mut rows = self.0.iter_mut();
        if let Some((_, known)) = rows.find(|(asked, _)| asked == address) {
            *known = state;
        }
    }
}

impl fmt::Display for FetchStates {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, (address, state)) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(formatter, "{separator}{address} {state}")?;
        }
        Ok(())
    }
}

/// Why the turns before a request cannot be used, or a turn cannot be stored.
///
/// Each text begins with the step that failed: `list`, `probe`, `memory`, `lookup` or `store`.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub(crate) enum HistoryError {
    /// The turn certainly does not exist.
    #[display("lookup: the turn does not exist; {states}")]
    Unknown {
        /// The answers of the VMs that were asked.
        states: FetchStates,
    },
    /// No VM with a disk is known.
    #[display("list: no VM with a disk is known")]
    NoStorageVms,
    /// No VM that was asked has the turn, and the list of the others was not read from the store.
    #[display("list: not read from the store in time; {states}")]
    ListNotRead {
        /// The answers of the VMs that were asked.
        states: FetchStates,
    },
    /// No VM with a disk has the turn, and one that may have had it cannot tell.
    #[display("lookup: no VM that answers has the turn, another one may have it; {states}")]
    NotFound {
        /// The answers of the VMs that were asked.
        states: FetchStates,
    },
    /// The turn was not found before the deadline of the call, or while many others were late.
    #[display("lookup: not answered in time; {states}")]
    LookupTimeout {
        /// The answers of the VMs that were asked.
        states: FetchStates,
    },
    /// The prompt with the turns before it exceeds its limit.
    #[display("lookup: the prompt would have {bytes} bytes with the turns before it")]
    PromptTooLarge {
        /// Size of the prompt with the turns before it.
        bytes: usize,
    },
    /// The memory for kept turns did not become free in time.
    #[display("memory: {bytes} bytes for the turn did not become free in time")]
    NoMemory {
        /// Memory that the turn needs.
        bytes: usize,
    },
    /// Too few VMs with a disk accept connections to store the turn.
    #[display("probe: {reachable} of {known} VMs with a disk accept connections, {needed} needed")]
    TooFewReachable {
        /// VMs that accept connections.
        reachable: usize,
        /// VMs that are known and may store the turn.
        known: usize,
        /// VMs that have to store it.
        needed: usize,
    },
    /// Too few VMs with a disk have stored the turn in time.
    #[display("store: {stored} VMs with a disk confirmed the turn in time, {needed} needed")]
    NotStored {
        /// VMs that have confirmed it.
        stored: usize,
        /// VMs that have to confirm it.
        needed: usize,
    },
}
