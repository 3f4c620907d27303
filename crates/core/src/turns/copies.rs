//! Which VMs get a copy of a turn.

use std::collections::VecDeque;
use std::sync::Arc;

/// Copies that are made beside the needed ones; they make up for a VM that is removed for good.
const SPARE_COPIES: usize = 1;

/// What to do next for the copies of a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyStep {
    /// Send the turn to the VM at this address as well.
    Send(Arc<str>),
    /// Wait for the answers that are open.
    Wait,
    /// Enough VMs have the turn on their disks.
    Stored,
    /// Too few VMs accept the turn.
    Failed,
}

/// The copies of one turn.
///
/// If `tolerated_losses` VMs may lose their disks at the same time, one more has to hold the turn.
#[derive(Debug, Clone)]
pub struct CopyPlan {
    needed_copies: usize,
    stored_copies: usize,
    open_requests: usize,
    /// VMs that have not been asked, in order of preference.
    waiting: VecDeque<Arc<str>>,
}

impl CopyPlan {
    /// Plans the copies on the VMs at these addresses, the preferred ones first.
    pub fn new(addresses: impl IntoIterator<Item = Arc<str>>, tolerated_losses: usize) -> Self {
        Self {
            needed_copies: tolerated_losses + 1,
            stored_copies: 0,
            open_requests: 0,
            waiting: addresses.into_iter().collect(),
        }
    }

    /// Returns the number of VMs that have stored the turn.
    pub fn stored_copies(&self) -> usize {
        self.stored_copies
    }

    /// Returns the VMs that get the turn at once.
    pub fn start(&mut self) -> Vec<Arc<str>> {
        let count = self.waiting.len().min(self.needed_copies + SPARE_COPIES);
        self.open_requests += count;
        self.waiting.drain(..count).collect()
    }

    /// Adds VMs to be asked after the others, and returns the next step.
    pub fn extend(&mut self, addresses: impl IntoIterator<Item = Arc<str>>) -> CopyStep {
        self.waiting.extend(addresses);
        match self.stored_copies + self.open_requests >= self.needed_copies {
            true => CopyStep::Wait,
            false => self.send_more(),
        }
    }

    /// Records the answer of a VM and returns the next step.
    pub fn record(&mut self, is_stored: bool) -> CopyStep {
        self.open_requests = self.open_requests.saturating_sub(1);
        if is_stored {
            self.stored_copies += 1;
        }
        if self.stored_copies >= self.needed_copies {
            return CopyStep::Stored;
        }
        if self.stored_copies + self.open_requests >= self.needed_copies {
            return CopyStep::Wait;
        }
        self.send_more()
    }

    /// Returns the next step if the open answers are late.
    pub fn hedge(&mut self) -> CopyStep {
        if self.waiting.is_empty() {
            return CopyStep::Wait;
        }
        self.send_more()
    }

    /// Selects one more VM.
    fn send_more(&mut self) -> CopyStep {
        match self.waiting.pop_front() {
            Some(address) => {
                self.open_requests += 1;
                CopyStep::Send(address)
            }
            None if self.open_requests > 0
                && self.stored_copies + self.open_requests >= self.needed_copies =>
            {
                CopyStep::Wait
            }
            None => CopyStep::Failed,
        }
    }
}
