//! Messages between the entry VM of a call and the home of its program.

use crate::ids::{CallId, HistoryDigest, ProgramKey, VmName};
use crate::input::{Continuation, Permit};
use crate::output::{Execution, RefusalKind};

/// A message between the entry VM of a call and the home of its program.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum HomesMessage {
    /// Asks the home to let a turn begin.
    Begin(Box<Begin>),
    /// Lets a turn begin.
    Began {
        /// The call.
        call: CallId,
        /// The generation of the program.
        generation: u64,
        /// How long the call may be dispatched from the time `Begin` was sent.
        valid_us: u64,
    },
    /// Refuses a turn.
    Denied(Denied),
    /// Tells a resent turn that its response is kept.
    Kept {
        /// The resent call.
        call: CallId,
        /// The VM that keeps the response.
        vm: VmName,
        /// The call that ran.
        original: CallId,
    },
    /// Reports the end of a turn.
    Settle(Settle),
    /// Confirms a `Settle` and carries the new state of the program.
    Settled {
        /// The call.
        call: CallId,
        /// The state that the caller carries to the next turn.
        continuation: Box<Continuation>,
        /// The permit for a next turn that may not be repeated.
        permit: Option<Box<Permit>>,
    },
}

/// Asks the home to let a turn begin.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Begin {
    /// The call.
    pub call: CallId,
    /// The program.
    pub program: ProgramKey,
    /// The turn, from 1.
    pub turn: u32,
    /// The state that the caller carried.
    pub continuation: Option<Continuation>,
    /// The permit, for a call that may not be repeated.
    pub permit: Option<Permit>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The highest number of tokens that the call can use.
    pub reserve_tokens: u64,
}

/// Refuses a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Denied {
    /// The call.
    pub call: CallId,
    /// Why.
    pub kind: RefusalKind,
    /// What is known about an earlier run of the turn.
    pub ran: Execution,
    /// When a resend may succeed, if it may.
    pub retry_after_ms: Option<u64>,
}

/// Reports the end of a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settle {
    /// The call.
    pub call: CallId,
    /// The program.
    pub program: ProgramKey,
    /// The turn.
    pub turn: u32,
    /// Whether the call ran.
    pub ran: Execution,
    /// Tokens that it used.
    pub used_tokens: u64,
    /// The digest of the history including the response, if the response was complete.
    pub history: Option<HistoryDigest>,
}
