//! State of the reads from the platform's store, with the age of what was read.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ids::{CallId, DomainName};
use crate::input::{Evacuations, StorageVm, UpstreamList};
use crate::message::ListVersion;

/// Longest time between two reads after which nothing of what was read is taken to be missed.
pub const MAX_READ_GAP_US: u64 = 2_000_000;

/// State of one object that is read from the store at intervals.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadState {
    /// Time at which the latest answered request was sent, by any VM.
    pub read_us: Option<u64>,
    /// Time of the first read after the last gap of more than [`MAX_READ_GAP_US`].
    pub complete_since_us: Option<u64>,
    /// Time at which the request in flight was sent.
    pub requested_us: Option<u64>,
    /// Consecutive requests of this VM without an answer.
    pub failures: u32,
    /// End of the backoff after a failure.
    pub retry_us: u64,
}

impl ReadState {
    /// Records an answer that reflects the store at `read_us` or later.
    pub fn record_read(&mut self, read_us: u64) {
        let is_gap = |last_us| read_us > last_us + MAX_READ_GAP_US;
        if self.read_us.is_none_or(is_gap) {
            self.complete_since_us = Some(read_us);
        }
        self.read_us = self.read_us.max(Some(read_us));
    }

    /// Returns the age of what was read, or `None` if nothing was.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.read_us.map(|read_us| now_us.saturating_sub(read_us))
    }
}

/// Longest life of a program whose budget is not stopped.
const PROGRAM_LIFE_US: u64 = 10_000_000;

/// Knowledge of programs that ran before this VM started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProgramKnowledge {
    /// Nothing is known yet; turns wait for an answer of another VM or the store.
    #[default]
    Pending,
    /// All use is known, except for what was lost with the memory of all VMs.
    Known {
        /// Times that the memory of all VMs was lost within the retention of programs.
        losses: u32,
        /// Time at which the last loss was counted; 0 if there was none.
        counted_us: u64,
    },
}

impl ProgramKnowledge {
    /// Returns the losses that count for a program seen now for the first time, or `None` if
    /// nothing is known yet.
    ///
    /// A stopped program has a record in the store, and other programs are short-lived. So a
    /// program first seen more than `PROGRAM_LIFE_US` after a loss began after it.
    pub fn losses(self, now_us: u64) -> Option<u32> {
        match self {
            Self::Pending => None,
            Self::Known { counted_us, .. } if counted_us + PROGRAM_LIFE_US < now_us => Some(0),
            Self::Known { losses, .. } => Some(losses),
        }
    }
}

/// Wishes to read the list of VMs with a disk anew, by their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ListWishes {
    /// The last wish.
    pub wanted: u64,
    /// The last wish before the request in flight was sent.
    pub requested: u64,
    /// The last wish that the list in force answers: the store was asked for it afterwards.
    pub answered: u64,
    /// The last wish for which the store was asked in vain.
    pub failed: u64,
}

/// State of the reads from the platform's store.
#[derive(Debug, Default)]
pub struct Source {
    /// Reads of the published configuration.
    pub config: ReadState,
    /// Whether the configuration in force came from a build that does not know all of its fields, so
    /// that this VM has to read it from the store.
    pub is_config_partial: bool,
    /// Reads of the list of upstreams.
    pub list: ReadState,
    /// Registration of this VM and reads of the list of the others.
    pub vms: ReadState,
    /// VMs with a disk, as last reported by the store or another VM.
    pub keepers: Arc<Vec<StorageVm>>,
    /// Wishes for the list of VMs with a disk.
    pub list_wishes: ListWishes,
    /// Reads of the count of losses of memory.
    pub losses: ReadState,
    /// Whether the last request of this VM to the store had no answer.
    pub is_unreachable: bool,
    /// Time at which the list of upstreams was read again after a long pause.
    pub list_resumed_us: Option<u64>,
    /// The list of upstreams in force.
    pub upstreams: Arc<UpstreamList>,
    /// The newest evacuations that this VM knows of, read by any VM.
    pub evacuations: Evacuations,
    /// Time at which this VM last asked for the evacuations.
    pub evacuations_requested_us: Option<u64>,
    /// Whether the request in flight for the list asks for the evacuations.
    pub evacuations_pending: bool,
    /// Whether the evacuations could not be read when this VM last asked for them.
    pub evacuations_failed: bool,
    /// Evacuated failure domains that have been logged.
    pub logged_evacuations: BTreeSet<DomainName>,
    /// Identifies the version of `upstreams`.
    pub stamp: ListVersion,
    /// Knowledge of programs that ran before this VM started.
    pub knowledge: ProgramKnowledge,
    /// Calls whose turns wait until `knowledge` is no longer pending.
    pub waiting: Vec<CallId>,
    /// Time at which this VM started.
    pub started_us: u64,
}
