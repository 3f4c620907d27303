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
    /// Allows a turn to begin.
    Began(Box<Began>),
    /// Confirms that a call is queued for its turn.
    Pending {
        /// The queued call.
        call: CallId,
    },
    /// Refuses a turn or a request.
    Denied(Denied),
    /// Answers a resent turn whose response is stored on a VM.
    Kept {
        /// The resent call.
        call: CallId,
        /// The VM that stores the response.
        vm: VmName,
        /// The original call, which ran.
        original: CallId,
        /// The continuation for the next turn.
        continuation: Box<Continuation>,
        /// A permit for a non-idempotent next turn; `None` if the home issued none.
        permit: Option<Box<Permit>>,
    },
    /// Reports the end of a turn.
    Settle(Box<Settle>),
    /// Confirms a `Settle` and returns the new state of the program.
    Settled {
        /// The call that ran the turn.
        call: CallId,
        /// The continuation for the next turn; `None` if the turn did not run or the program
        /// has ended.
        continuation: Option<Box<Continuation>>,
        /// A permit for a non-idempotent next turn; `None` if the home issued none.
        permit: Option<Box<Permit>>,
    },
    /// Asks the entry VM whether a turn that has been in progress for a long time has ended.
    Probe {
        /// The call that runs the turn.
        call: CallId,
        /// The program that the turn belongs to.
        program: ProgramKey,
    },
    /// Reports that the entry VM does not know a call that the home has recorded as running.
    Gone {
        /// The call that the home asked about.
        call: CallId,
        /// The program that the turn belongs to.
        program: ProgramKey,
        /// Whether the call may have run.
        ran: Execution,
    },
    /// Requests a permit.
    PermitRequest(Box<PermitRequest>),
    /// Sends the requested permit.
    PermitIs {
        /// The answered request.
        request: CallId,
        /// The issued permit.
        permit: Box<Permit>,
    },
    /// Ends a program.
    End {
        /// The ID of this request, which the answer repeats.
        request: CallId,
        /// The program to end.
        program: ProgramKey,
        /// The generation to end; `None` for the current one.
        generation: Option<u64>,
    },
    /// Confirms the end of a program.
    Ended {
        /// The answered request.
        request: CallId,
    },
    /// Sends an entry VM's records of programs to their new home.
    Witness {
        /// Identifies the message among those of its sender.
        transfer: u64,
        /// The epoch of the view that moved the programs.
        epoch: Epoch,
        /// The records, one per program.
        witnesses: Vec<Witness>,
    },
    /// Transfers programs from their old home to the new one.
    HandOver(Box<HandOver>),
    /// Confirms a `Witness` or a `HandOver`.
    Received {
        /// The `transfer` of the confirmed message.
        transfer: u64,
    },
}

/// Asks the home to let a turn begin, or to extend the validity of its start.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Begin {
    /// The call that runs the turn.
    pub call: CallId,
    /// When the message was sent, on the clock of the entry VM; the answer repeats it.
    pub sent_us: u64,
    /// The program that the turn belongs to.
    pub program: ProgramKey,
    /// The turn number, from 1.
    pub turn: u32,
    /// The continuation that the caller sent; `None` if it sent none.
    pub continuation: Option<Continuation>,
    /// The permit that the caller sent; a non-idempotent call needs one.
    pub permit: Option<Permit>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The maximum number of tokens that the call can use.
    pub reserve_tokens: u64,
    /// The digest of the content, equal for all resends of it.
    pub digest: ContentDigest,
    /// The upstreams that can run the call.
    pub pool: PoolKey,
}

/// Allows a turn to begin.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Began {
    /// The call that may run the turn.
    pub call: CallId,
    /// The `sent_us` of the `Begin` that is answered.
    pub sent_us: u64,
    /// How long after `sent_us` the call may be dispatched.
    pub valid_us: u64,
    /// The state of the program before the turn.
    pub state: Continuation,
}

/// Refuses a turn or a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Denied {
    /// The call, or the request, that is refused.
    pub call: CallId,
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// What is known about an earlier run of the turn.
    pub ran: Execution,
    /// Time after which a resend may succeed; `None` to give no such hint.
    pub retry_after_ms: Option<u64>,
}

/// Reports the end of a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settle {
    /// The call that ran the turn.
    pub call: CallId,
    /// The state of the program before the turn.
    pub state: Continuation,
    /// The turn that ran or may have run.
    pub turn: RunningTurn,
    /// Whether the call ran.
    pub ran: Execution,
    /// Tokens that the call used.
    pub used_tokens: u64,
    /// The digest of the history including the response; `None` if the response was incomplete.
    pub history: Option<HistoryDigest>,
    /// Upstreams that may hold cached memory of the program.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
}

/// A turn in progress, as recorded by its entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RunningTurn {
    /// The call that runs it.
    pub call: CallId,
    /// The turn number.
    pub number: u32,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Budget tokens reserved for the turn.
    pub reserve_tokens: u64,
    /// The digest of the content, equal for all resends of it.
    pub digest: ContentDigest,
    /// The upstreams that may run it.
    pub pool: PoolKey,
}

/// Requests a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PermitRequest {
    /// The ID of this request, which the answer repeats.
    pub request: CallId,
    /// The program that the permit is for.
    pub program: ProgramKey,
    /// The turn that the permit is for.
    pub turn: u32,
    /// The continuation that the caller sent; `None` if it sent none.
    pub continuation: Option<Continuation>,
}

/// An entry VM's record of a program that it served.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Witness {
    /// The last state that the home sent.
    pub state: Continuation,
    /// Upstreams that may hold cached memory of the program.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
    /// Turns in progress on this entry VM.
    pub running: SmallVec<[RunningTurn; 1]>,
    /// Whether the caller ended the program through this entry VM.
    pub is_ended: bool,
    /// Time since the entry VM received the state.
    pub idle_ms: u64,
}

/// Transfers programs from their old home to the new one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HandOver {
    /// Identifies the message among those of its sender.
    pub transfer: u64,
    /// The epoch of the view that moved the programs.
    pub epoch: Epoch,
    /// The transferred programs.
    pub programs: Vec<HandedProgram>,
    /// Releases of engine memory that no engine has confirmed yet.
    pub releases: Vec<Release>,
    /// Number of hand-over messages from this sender to this receiver in this epoch.
    pub messages: u32,
    /// How much longer the sender itself would have had to wait for an earlier home.
    pub wait_us: u64,
}

/// A program that moves from its old home to the new one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HandedProgram {
    /// The key of the program.
    pub key: ProgramKey,
    /// Its table row, with times on the sender's clock.
    pub row: Program,
    /// The sender's time when it sent the row, to convert the times in it.
    pub now_us: u64,
}
