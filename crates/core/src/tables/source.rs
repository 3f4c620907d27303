//! What a VM knows of the age of what it read from the platform's store.

use std::sync::Arc;

use crate::ids::CallId;
use crate::input::{RecordKeeper, UpstreamList};
use crate::message::ListStamp;

/// One thing that is read from the store at intervals.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadState {
    /// When the latest answered request for it was sent, by any VM.
    pub read_us: Option<u64>,
    /// When the request that is under way was sent.
    pub requested_us: Option<u64>,
    /// Requests of this VM in a row without an answer.
    pub failures: u32,
    /// When it may be read again after a failure.
    pub retry_us: u64,
}

impl ReadState {
    /// Takes note that an answer reflects the store at a moment or later.
    pub fn record_read(&mut self, read_us: u64) {
        self.read_us = self.read_us.max(Some(read_us));
    }

    /// Returns the age of what was read.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.read_us.map(|read_us| now_us.saturating_sub(read_us))
    }
}

/// Longest life of a program that is not stopped.
const PROGRAM_LIFE_US: u64 = 10_000_000;

/// What a VM knows of programs that ran before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProgramKnowledge {
    /// Nothing yet; turns wait until another VM or the store has been asked.
    #[default]
    Pending,
    /// All that has run since the memory of all VMs was lost this often within the retention of
    /// programs.
    Known {
        /// The number of losses.
        losses: u32,
        /// When the last one was counted; 0 if there was none.
        counted_us: u64,
    },
}

impl ProgramKnowledge {
    /// Returns the losses that count for a program which is met now, if anything is known.
    ///
    /// A program that was stopped has a record, and the others do not live for long. One that is
    /// met later than that after a loss has begun after it.
    pub fn losses(self, now_us: u64) -> Option<u32> {
        match self {
            Self::Pending => None,
            Self::Known { counted_us, .. } if counted_us + PROGRAM_LIFE_US < now_us => Some(0),
            Self::Known { losses, .. } => Some(losses),
        }
    }
}

/// State of the reads from the platform's store.
#[derive(Debug, Default)]
pub struct Source {
    /// The published configuration.
    pub config: ReadState,
    /// The list of upstreams.
    pub list: ReadState,
    /// The registration of this VM and the list of the others.
    pub vms: ReadState,
    /// VMs with a disk, as the store or another VM has named them.
    pub keepers: Arc<Vec<RecordKeeper>>,
    /// The count of losses of memory.
    pub losses: ReadState,
    /// Whether the last request of this VM had no answer.
    pub is_unreachable: bool,
    /// When the list was read again after a long pause.
    pub list_resumed_us: Option<u64>,
    /// The list of upstreams in force.
    pub upstreams: Arc<UpstreamList>,
    /// Tells it apart from others.
    pub stamp: ListStamp,
    /// What is known of programs that ran before this VM started.
    pub knowledge: ProgramKnowledge,
    /// Turns that wait until something is known of programs.
    pub waiting: Vec<CallId>,
    /// When this VM started.
    pub started_us: u64,
}
