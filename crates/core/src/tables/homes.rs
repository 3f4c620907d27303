//! State of a VM as home and as entry VM, besides the rows of programs and calls.

use std::collections::VecDeque;

use derive_more::Display;
use smallvec::SmallVec;

use super::{Program, Table, View};
use crate::ids::{CallId, Epoch, ProgramKey, UpstreamName, VmName};
use crate::input::Continuation;
use crate::message::{Begin, HomesMessage, Settle, Witness};

/// State of a VM as home and as entry VM, besides the rows of programs and calls.
#[derive(Debug, Default)]
pub struct Homes {
    /// The view by which the programs were last assigned to homes.
    pub view: View,
    /// Earlier views, newest first, from which the former home of a program is computed.
    pub view_history: VecDeque<View>,
    /// Hand-overs of programs by other VMs.
    pub hand_overs: Table<VmName, HandOverProgress>,
    /// Programs started by this process.
    pub started_programs: u64,
    /// Permits issued by this process.
    pub issued_permits: u64,
    /// As home: the last states of programs that have ended.
    pub tombstones: Table<ProgramKey, Tombstone>,
    /// As home: calls that wait for a turn.
    pub waiting_calls: Table<CallId, WaitingCall>,
    /// As home: requests to end a program that have been applied, so that a resend has no effect.
    pub ended_requests: Table<CallId, ()>,
    /// As home: unconfirmed releases of engine memory, with the number of times each was sent.
    pub releases: Table<Release, u32>,
    /// As entry VM: the last known state of the programs that it served.
    pub witnesses: Table<ProgramKey, WitnessRecord>,
    /// As entry VM: ends of turns that the home has not confirmed.
    pub pending_settles: Table<CallId, PendingSettle>,
    /// As entry VM: requests of callers about programs that the home has not answered.
    pub requests: Table<CallId, PendingProgramRequest>,
    /// Unconfirmed messages with state of programs for their new homes, by number of the transfer.
    pub transfers: Table<u64, Transfer>,
    /// Number of the next transfer.
    pub next_transfer: u64,
}

/// Progress of the hand-over of programs from another VM after a view change.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HandOverProgress {
    /// Epoch of the view that moved the programs.
    pub epoch: Epoch,
    /// Numbers of the messages that have arrived.
    pub received: SmallVec<[u64; 1]>,
    /// Time from which this VM may act for the programs; known once all messages have arrived.
    pub effective_us: Option<u64>,
}

/// The last state of a program that has ended.
///
/// Without it, a continuation that an earlier home signed would start the program again.
#[derive(Debug, Clone)]
pub struct Tombstone {
    /// The state that a new home receives.
    pub state: Continuation,
    /// The last row, which shows whether a permit of the program may have been used.
    pub row: Program,
    /// Time at which the tombstone expires.
    pub until_us: u64,
}

/// A call that waits at the home for a turn.
#[derive(Debug, Clone)]
pub struct WaitingCall {
    /// Entry VM of the call.
    pub vm: VmName,
    /// Request of the entry VM to begin the turn.
    pub begin: Box<Begin>,
    /// Whether it repeats the turn in progress; it then waits for that turn without a timeout.
    pub is_attached: bool,
    /// The next call in the list of those that wait for the same program.
    pub next: Option<CallId>,
}

/// A release of the memory that one program holds at one upstream.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{program} generation {generation} at {upstream}")]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Release {
    /// Upstream that holds the memory.
    pub upstream: UpstreamName,
    /// Program whose memory is released.
    pub program: ProgramKey,
    /// Generation of the program whose memory is released.
    pub generation: u64,
}

/// The last known state of a program that this VM served as entry VM.
#[derive(Debug, Clone)]
pub struct WitnessRecord {
    /// The state that the home last reported.
    pub witness: Witness,
    /// Time of that report.
    pub last_seen_us: u64,
}

/// The end of a turn that the home has not confirmed.
#[derive(Debug, Clone)]
pub struct PendingSettle {
    /// Message that reports the end of the turn.
    pub settle: Box<Settle>,
    /// Time at which it was first sent.
    pub since_us: u64,
    /// Times that it was sent.
    pub tries: u32,
}

/// A request of a caller about a program that the home has not answered.
#[derive(Debug, Clone)]
pub struct PendingProgramRequest {
    /// Program that the request is about.
    pub program: ProgramKey,
    /// Message to send until it is answered.
    pub message: HomesMessage,
    /// Times that it was sent.
    pub tries: u32,
    /// Deadline for the home's answer, after which the caller is refused.
    pub deadline_us: u64,
}

/// An unconfirmed message with state of programs for their new home.
#[derive(Debug, Clone)]
pub struct Transfer {
    /// VM that is the new home.
    pub to: VmName,
    /// Message to send until it is answered.
    pub message: HomesMessage,
    /// Times that it was sent.
    pub tries: u32,
}
