//! Programs whose home is this VM.

use smallvec::SmallVec;

use crate::ids::{
    CallId, ContentDigest, Epoch, HistoryDigest, PoolKey, ProgramName, UpstreamName, VmName,
};

/// Upstreams that a program remembers; a further one replaces the oldest.
///
/// Four keep the row under 512 bytes. Memory at the replaced one is released at once.
pub const MAX_SERVED: usize = 4;

/// A program whose home is this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Program {
    /// Distinguishes programs that had the same name one after another.
    pub generation: u64,
    /// The last finished turn.
    pub turn: u32,
    /// The number of the last permit.
    pub permit_seq: u32,
    /// The digest of the history up to the last finished turn.
    pub history: HistoryDigest,
    /// Whether the program accepts turns.
    pub phase: Phase,
    /// Whether the row was rebuilt from witnesses and may lack the last turns.
    pub is_recovered: bool,
    /// The turn in progress.
    pub current: Option<Turn>,
    /// The last turn that ended with an unknown outcome, until a later one finishes.
    pub unknown: Option<UnknownTurn>,
    /// The last finished turn, while its response may be kept.
    pub last: Option<FinishedTurn>,
    /// The first of the calls that wait for a turn of this program.
    pub first_wait: Option<CallId>,
    /// What the whole tree has used; only kept up in the row of a root.
    pub usage: Usage,
    /// When the program started, on this VM's clock.
    pub started_us: u64,
    /// When its lease ends.
    pub lease_until_us: u64,
    /// The epoch from which every turn of the program is known here.
    pub known_from: Epoch,
    /// Upstreams that may hold memory of the program.
    pub served: SmallVec<[UpstreamName; MAX_SERVED]>,
    /// Pools in which an unknown upstream may hold memory of the program.
    pub unknown_pools: Vec<PoolKey>,
    /// The places of the row in the tree.
    pub links: Links,
}

/// Whether a program accepts turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    /// It accepts turns.
    Open,
    /// Its caller ended it; it goes away when its turn in progress ends.
    Ended,
    /// Its budget is used up; the row stays until its lease ends.
    Exhausted,
}

/// What a program and its sub-agents have used of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Usage {
    /// Tokens used.
    pub spent_tokens: u64,
    /// Tokens reserved by turns in progress.
    pub reserved_tokens: u64,
    /// Turns that have begun and were not settled as not run.
    pub turns: u32,
    /// Turns in progress.
    pub running: u32,
}

/// A turn in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Turn {
    /// The call that runs it.
    pub call: CallId,
    /// The entry VM of the call.
    pub vm: VmName,
    /// The number of the turn.
    pub number: u32,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Tokens reserved for it.
    pub reserved_tokens: u64,
    /// Identifies the content across resends.
    pub digest: ContentDigest,
    /// The upstreams that may run it.
    pub pool: PoolKey,
}

/// A turn that ended with an unknown outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UnknownTurn {
    /// The call that ran it or not.
    pub call: CallId,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Tokens booked for it, the highest number that it can have used.
    pub booked_tokens: u64,
}

/// A finished turn.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct FinishedTurn {
    /// The call that ran it.
    pub call: CallId,
    /// The VM that keeps its response.
    pub vm: VmName,
    /// Identifies the content across resends.
    pub digest: ContentDigest,
    /// When the home learned of its end.
    pub ended_us: u64,
}

/// The places of a program in its tree: a list of all sub-agents hangs off the root.
///
/// Links between rows keep the row of a root small however many sub-agents it has.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Links {
    /// In the row of a root: the first sub-agent.
    pub first: Option<ProgramName>,
    /// In the row of a sub-agent: the one before it.
    pub previous: Option<ProgramName>,
    /// In the row of a sub-agent: the one after it.
    pub next: Option<ProgramName>,
}

impl Program {
    /// Returns the bytes of a row, with the memory that it alone holds.
    pub fn row_bytes(&self) -> usize {
        let spilled = if self.served.spilled() {
            self.served.capacity() * size_of::<UpstreamName>()
        } else {
            0
        };
        let pools = self.unknown_pools.capacity() * size_of::<PoolKey>();
        size_of::<Self>() + spilled + pools
    }

    /// Returns whether no turn of the program has begun and no permit was issued.
    pub fn is_blank(&self) -> bool {
        self.turn == 0
            && self.permit_seq == 0
            && self.current.is_none()
            && self.unknown.is_none()
            && self.served.is_empty()
            && self.unknown_pools.is_empty()
    }

    /// Returns whether nobody could miss the row.
    pub fn is_unused(&self) -> bool {
        self.is_blank() && self.first_wait.is_none() && self.links == Links::default()
    }
}
