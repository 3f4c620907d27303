//! Programs whose home is this VM.

use smallvec::SmallVec;

use crate::ids::{
    CallId, ContentDigest, Epoch, HistoryDigest, PoolKey, ProgramName, UpstreamName, VmName,
};

/// Upstreams recorded for a program; a further one replaces the oldest.
///
/// Four keep the row under 512 bytes. The program's memory at a replaced one is released at once.
pub const MAX_SERVED: usize = 4;

/// A program whose home is this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Program {
    /// Distinguishes successive programs with the same name.
    pub generation: u64,
    /// Number of the last finished turn.
    pub turn: u32,
    /// Permits of this VM with a higher number were issued from this row.
    pub before_permits: u64,
    /// Number of the last permit; 0 if there was none.
    pub last_permit: u64,
    /// Digest of the history up to the last finished turn.
    pub history: HistoryDigest,
    /// Whether the program accepts turns.
    pub phase: Phase,
    /// Whether the row was rebuilt from witnesses and may lack the last turns.
    pub is_recovered: bool,
    /// The turn in progress.
    pub current: Option<Turn>,
    /// The last turn whose outcome is unknown, until a later one finishes.
    pub unknown: Option<UnknownTurn>,
    /// The last finished turn, as long as its response may still be stored.
    pub last: Option<FinishedTurn>,
    /// The first call in the list of those that wait for a turn of this program.
    pub first_wait: Option<CallId>,
    /// Use by the program and all its sub-agents; maintained only in the row of a root.
    pub usage: Usage,
    /// Time at which the program started, on this VM's clock.
    pub started_us: u64,
    /// End of its lease.
    pub lease_until_us: u64,
    /// Epoch from which on every turn of the program is known here.
    pub known_from: Epoch,
    /// Upstreams that may hold memory of the program.
    pub served: SmallVec<[UpstreamName; MAX_SERVED]>,
    /// Pools in which an unknown upstream may hold memory of the program.
    pub unknown_pools: Vec<PoolKey>,
    /// Links to other rows of the tree.
    pub links: Links,
}

/// Whether a program accepts turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    /// It accepts turns.
    Open,
    /// Its caller has ended it; the row is removed when its turn in progress ends.
    Ended,
    /// Its budget is used up; the row stays until its lease ends.
    Exhausted,
}

/// Use of the budget by a program and its sub-agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Usage {
    /// Tokens used by ended turns.
    pub spent_tokens: u64,
    /// Tokens reserved by turns in progress.
    pub reserved_tokens: u64,
    /// Turns that have begun, except those that turned out not to have run.
    pub turns: u32,
    /// Turns in progress.
    pub running: u32,
}

/// A turn in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Turn {
    /// Call that runs the turn.
    pub call: CallId,
    /// Entry VM of the call.
    pub vm: VmName,
    /// Number of the turn.
    pub number: u32,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Tokens reserved for the turn.
    pub reserved_tokens: u64,
    /// Identifies the content across resends.
    pub digest: ContentDigest,
    /// Pool of the upstreams that may run it.
    pub pool: PoolKey,
}

/// A turn whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UnknownTurn {
    /// Call that may have run the turn.
    pub call: CallId,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Tokens counted as used for it: the most that it can have used.
    pub booked_tokens: u64,
}

/// A finished turn.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct FinishedTurn {
    /// Call that ran the turn.
    pub call: CallId,
    /// VM that stores its response.
    pub vm: VmName,
    /// Identifies the content across resends.
    pub digest: ContentDigest,
    /// Time at which the home learned of its end.
    pub ended_us: u64,
}

/// Links of a program in its tree: the root heads a linked list of all sub-agents.
///
/// A linked list keeps the row of a root small however many sub-agents it has.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Links {
    /// In the row of a root: the first sub-agent in the list.
    pub first: Option<ProgramName>,
    /// In the row of a sub-agent: the one before it in the list.
    pub previous: Option<ProgramName>,
    /// In the row of a sub-agent: the one after it in the list.
    pub next: Option<ProgramName>,
}

impl Program {
    /// Returns the size of the row in bytes, including heap memory that only this row refers to.
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
            && self.last_permit == 0
            && self.current.is_none()
            && self.unknown.is_none()
            && self.served.is_empty()
            && self.unknown_pools.is_empty()
    }

    /// Returns whether the row can be removed without loss.
    pub fn is_unused(&self) -> bool {
        self.is_blank() && self.first_wait.is_none() && self.links == Links::default()
    }
}
