//! Messages between the entry VM of a call and the home of its program.

use smallvec::SmallVec;

use crate::ids::{
    CallId, ContentDigest, Epoch, HistoryDigest, PoolKey, ProgramKey, UpstreamName, VmName,
};
use crate::input::{Continuation, Permit};
use crate::output::{Execution, RefusalKind};
use crate::tables::{Program, Release};

/// A message between the entry VM of a call and the home of its program.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum HomesMessage {
    /// Asks the home to let a turn begin, or to extend the validity of its start.
    Begin(Box<Begin>),
    /// Lets a turn begin.
    Began(Box<Began>),
    /// Says that a call waits for its turn.
    Pending {
        /// The call.
        call: CallId,
    },
    /// Refuses a turn or a request.
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
    Settle(Box<Settle>),
    /// Confirms a `Settle` and carries the new state of the program.
    Settled {
        /// The call.
        call: CallId,
        /// The state that the caller carries to the next turn; absent if the turn did not run
        /// or the program is gone.
        continuation: Option<Box<Continuation>>,
        /// The permit for a next turn that may not be repeated.
        permit: Option<Box<Permit>>,
    },
    /// Asks the entry VM for the end of a turn that has been in progress for long.
    Probe {
        /// The call.
        call: CallId,
        /// The program.
        program: ProgramKey,
    },
    /// Says that the entry VM does not know a call that the home has as a turn in progress.
    Gone {
        /// The call.
        call: CallId,
        /// The program.
        program: ProgramKey,
        /// Whether the call may have run.
        ran: Execution,
    },
    /// Asks for a permit.
    PermitRequest(Box<PermitRequest>),
    /// Carries a permit.
    PermitIs {
        /// The request.
        request: CallId,
        /// The permit.
        permit: Box<Permit>,
    },
    /// Ends a program.
    End {
        /// The request.
        request: CallId,
        /// The program.
        program: ProgramKey,
        /// The generation that is ended; whichever exists if absent.
        generation: Option<u64>,
    },
    /// Confirms the end of a program.
    Ended {
        /// The request.
        request: CallId,
    },
    /// Carries what an entry VM knows of programs whose home moved.
    Witness {
        /// Identifies the message at its sender.
        transfer: u64,
        /// The epoch of the view that moved the programs.
        epoch: Epoch,
        /// The programs.
        witnesses: Vec<Witness>,
    },
    /// Carries programs from their old home to the new one.
    HandOver(Box<HandOver>),
    /// Confirms a `Witness` or a `HandOver`.
    Received {
        /// The message that is confirmed.
        transfer: u64,
    },
}

/// Asks the home to let a turn begin.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Begin {
    /// The call.
    pub call: CallId,
    /// When the message was sent, on the clock of the entry VM; the answer repeats it.
    pub sent_us: u64,
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
    /// Identifies the content across resends.
    pub digest: ContentDigest,
    /// The upstreams that can run the call.
    pub pool: PoolKey,
}

/// Lets a turn begin.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Began {
    /// The call.
    pub call: CallId,
    /// The `sent_us` of the `Begin` that is answered.
    pub sent_us: u64,
    /// How long from then the call may be dispatched.
    pub valid_us: u64,
    /// The state of the program before the turn.
    pub state: Continuation,
}

/// Refuses a turn or a request.
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
    /// The state of the program before the turn.
    pub state: Continuation,
    /// What ran or might have run.
    pub turn: RunningTurn,
    /// Whether the call ran.
    pub ran: Execution,
    /// Tokens that it used.
    pub used_tokens: u64,
    /// The digest of the history including the response, if the response was complete.
    pub history: Option<HistoryDigest>,
    /// Upstreams that may hold memory of the program.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
}

/// A turn in progress as its entry VM knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RunningTurn {
    /// The call that runs it.
    pub call: CallId,
    /// The number of the turn.
    pub number: u32,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Tokens reserved for it.
    pub reserve_tokens: u64,
    /// Identifies the content across resends.
    pub digest: ContentDigest,
    /// The upstreams that may run it.
    pub pool: PoolKey,
}

/// Asks for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PermitRequest {
    /// The request.
    pub request: CallId,
    /// The program.
    pub program: ProgramKey,
    /// The turn that the permit is for.
    pub turn: u32,
    /// The state that the caller carried.
    pub continuation: Option<Continuation>,
}

/// What an entry VM knows of a program that it served.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Witness {
    /// The state as the home last told it.
    pub state: Continuation,
    /// Upstreams that may hold memory of the program.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
    /// Turns in progress at this entry VM.
    pub running: SmallVec<[RunningTurn; 1]>,
    /// Whether the caller ended the program through this entry VM.
    pub is_ended: bool,
    /// Time since the state was learned.
    pub idle_ms: u64,
}

/// Carries programs from their old home to the new one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HandOver {
    /// Identifies the message at its sender.
    pub transfer: u64,
    /// The epoch of the view that moved the programs.
    pub epoch: Epoch,
    /// The programs.
    pub programs: Vec<HandedProgram>,
    /// Releases of engine memory that are not confirmed.
    pub releases: Vec<Release>,
    /// How many messages the sender hands over in this epoch to this receiver.
    pub messages: u32,
    /// How long the sender itself would still have had to wait for an earlier home.
    pub wait_us: u64,
}

/// A program on its way from its old home to the new one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HandedProgram {
    /// The program.
    pub key: ProgramKey,
    /// Its row; times in it are on the clock of the sender.
    pub row: Program,
    /// The time on the clock of the sender.
    pub now_us: u64,
}
