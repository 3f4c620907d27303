//! Programs whose home is this VM.

use crate::ids::{CallId, HistoryDigest, VmName};

/// A program whose home is this VM.
#[derive(Debug, Clone)]
pub struct Program {
    /// Distinguishes programs that had the same name one after another.
    pub generation: u64,
    /// The last finished turn.
    pub turn: u32,
    /// The digest of the history up to that turn.
    pub history: HistoryDigest,
    /// The turn in progress.
    pub current: Option<Turn>,
    /// The call that finished the last turn and the VM that keeps its response.
    pub last: Option<(CallId, VmName)>,
    /// Tokens used; for a root, by the whole tree.
    pub spent_tokens: u64,
    /// Tokens reserved by turns in progress; for a root, by the whole tree.
    pub reserved_tokens: u64,
    /// When the program started, on this VM's clock.
    pub started_us: u64,
    /// When its lease ends.
    pub lease_until_us: u64,
}

/// A turn in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Turn {
    /// The call that runs it.
    pub call: CallId,
    /// The entry VM of the call.
    pub vm: VmName,
    /// The number of the turn.
    pub number: u32,
    /// Tokens reserved for it.
    pub reserved_tokens: u64,
}
