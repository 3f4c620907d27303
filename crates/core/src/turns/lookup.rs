//! Which VMs are asked for a turn.

use std::collections::VecDeque;
use std::sync::Arc;

/// What a VM with a disk says about a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnAnswer {
    /// It has the turn with its whole chain.
    Found,
    /// It never stored the turn, or the turn has expired.
    Absent,
    /// It does not have the turn, but may have lost it with its disk; or it did not answer.
    Unknown,
}

/// What to do next to find a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupStep {
    /// Ask the VMs at these addresses as well.
    Ask(Vec<Arc<str>>),
    /// Wait for the answers that are open.
    Wait,
    /// The VM that answered has the turn.
    Found,
    /// The turn certainly does not exist.
    Missing,
    /// Nobody who can be reached has the turn, but another VM may have it.
    Unavailable,
}

/// The search for one turn.
///
/// A turn is on the disks of at least one VM more than may lose theirs, and a VM whose disk was
/// lost answers [`TurnAnswer::Unknown`]. So the turn does not exist if all VMs say that they never
/// had it. One VM that may have had it leaves the question open, and so does one that is not known
/// here: the answer is [`LookupStep::Missing`] for the VMs that were asked.
#[derive(Debug, Clone)]
pub struct TurnLookup {
    open_requests: usize,
    needed_copies: usize,
    /// VMs that have been asked or will be.
    known_vms: usize,
    /// Whether a VM may have the turn and cannot tell.
    has_unknown: bool,
    /// VMs that have not been asked, in order of preference.
    waiting: VecDeque<Arc<str>>,
}

impl TurnLookup {
    /// Starts a search on the VMs at these addresses, the preferred ones first.
    ///
    /// `needed_copies` is the number of VMs that hold each turn. With fewer addresses, this VM does
    /// not know all VMs with a disk, and cannot tell that a turn does not exist.
    pub fn new(addresses: impl IntoIterator<Item = Arc<str>>, needed_copies: usize) -> Self {
        let waiting: VecDeque<Arc<str>> = addresses.into_iter().collect();
        Self {
            open_requests: 0,
            needed_copies,
            known_vms: waiting.len(),
            has_unknown: false,
            waiting,
        }
    }

    /// Returns the first step: the preferred VM is asked alone, since it mostly has the turn.
    pub fn start(&mut self) -> LookupStep {
        let Some(first) = self.waiting.pop_front() else {
            return LookupStep::Unavailable;
        };
        self.open_requests = 1;
        LookupStep::Ask(vec![first])
    }

    /// Records the answer of a VM and returns the next step.
    pub fn record(&mut self, answer: TurnAnswer) -> LookupStep {
        self.open_requests = self.open_requests.saturating_sub(1);
        match answer {
            TurnAnswer::Found => return LookupStep::Found,
            TurnAnswer::Absent => {}
            TurnAnswer::Unknown => self.has_unknown = true,
        }
        if !self.waiting.is_empty() {
            return self.ask_all();
        }
        if self.open_requests > 0 {
            return LookupStep::Wait;
        }
        if self.has_unknown || self.known_vms < self.needed_copies {
            LookupStep::Unavailable
        } else {
            LookupStep::Missing
        }
    }

    /// Adds VMs that were not known, and returns the next step.
    pub fn extend(&mut self, addresses: impl IntoIterator<Item = Arc<str>>) -> LookupStep {
        let known_vms = self.waiting.len();
        self.waiting.extend(addresses);
        self.known_vms += self.waiting.len() - known_vms;
        if self.waiting.is_empty() {
            LookupStep::Wait
        } else {
            self.ask_all()
        }
    }

    /// Returns the next step if the open answers are late.
    pub fn hedge(&mut self) -> LookupStep {
        if self.waiting.is_empty() {
            LookupStep::Wait
        } else {
            self.ask_all()
        }
    }

    /// Asks all VMs that have not been asked.
    fn ask_all(&mut self) -> LookupStep {
        self.open_requests += self.waiting.len();
        LookupStep::Ask(self.waiting.drain(..).collect())
    }
}
