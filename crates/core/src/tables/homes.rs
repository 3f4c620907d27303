//! What a VM keeps as home and as entry VM besides programs and calls.

use std::collections::VecDeque;

use derive_more::Display;
use smallvec::SmallVec;

use super::{Program, Table, View};
use crate::ids::{CallId, Epoch, ProgramKey, UpstreamName, VmName};
use crate::input::Continuation;
use crate::message::{Begin, HomesMessage, Settle, Witness};

/// What a VM keeps as home and as entry VM besides programs and calls.
#[derive(Debug, Default)]
pub struct Homes {
    /// The view that the programs were last sorted by.
    pub view: View,
    /// Earlier views, newest first, to tell who was the home of a program.
    pub view_history: VecDeque<View>,
    /// VMs that have handed over their programs.
    pub hand_overs: Table<VmName, HandOverProgress>,
    /// Programs started here since the start of the process.
    pub started_programs: u64,
    /// Permits issued here since the start of the process.
    pub issued_permits: u64,
    /// As home: the last states of programs that are over.
    pub tombstones: Table<ProgramKey, Tombstone>,
    /// As home: calls that wait for a turn.
    pub waiting_calls: Table<CallId, WaitingCall>,
    /// As home: requests to end a program that were carried out.
    pub ended_requests: Table<CallId, ()>,
    /// As home: releases of engine memory that are not confirmed.
    pub releases: Table<Release, u32>,
    /// As entry VM: the last state of the programs that it served.
    pub witnesses: Table<ProgramKey, WitnessRecord>,
    /// As entry VM: ends of turns that the home has not confirmed.
    pub pending_settles: Table<CallId, PendingSettle>,
    /// As entry VM: requests of callers that the home has not answered.
    pub requests: Table<CallId, PendingProgramRequest>,
    /// State of programs on its way to their new homes.
    pub transfers: Table<u64, Transfer>,
    /// The number of the next transfer.
    pub next_transfer: u64,
}

/// What a VM has handed over because of one view.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HandOverProgress {
    /// The epoch of the view that moved the programs.
    pub epoch: Epoch,
    /// Messages that have arrived.
    pub received: SmallVec<[u64; 1]>,
    /// From when this VM may act for the programs, once all messages have arrived.
    pub effective_us: Option<u64>,
}

/// The last state of a program that is over.
///
/// Without it, a continuation that an earlier home signed would bring the program back.
#[derive(Debug, Clone)]
pub struct Tombstone {
    /// The state that a new home is told.
    pub state: Continuation,
    /// The row, which tells whether a permit of the program may have been used.
    pub row: Program,
    /// When it need not be kept any longer.
    pub until_us: u64,
}

/// A call that waits at the home for a turn.
#[derive(Debug, Clone)]
pub struct WaitingCall {
    /// The entry VM of the call.
    pub vm: VmName,
    /// The request.
    pub begin: Box<Begin>,
    /// Whether it is a resend of the turn in progress, which it waits for without a limit.
    pub is_attached: bool,
    /// The next call that waits for the same program.
    pub next: Option<CallId>,
}

/// The engine memory of one program at one upstream.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{program} generation {generation} at {upstream}")]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Release {
    /// The engine.
    pub upstream: UpstreamName,
    /// The program.
    pub program: ProgramKey,
    /// The generation of the program that is released.
    pub generation: u64,
}

/// The last state of a program that this VM served as entry VM.
#[derive(Debug, Clone)]
pub struct WitnessRecord {
    /// The state as the home last told it.
    pub witness: Witness,
    /// When that was.
    pub last_seen_us: u64,
}

/// The end of a turn that the home has not confirmed.
#[derive(Debug, Clone)]
pub struct PendingSettle {
    /// The report.
    pub settle: Box<Settle>,
    /// When it was sent first.
    pub since_us: u64,
    /// How often it was sent.
    pub tries: u32,
}

/// A request of a caller that the home has not answered.
#[derive(Debug, Clone)]
pub struct PendingProgramRequest {
    /// The program.
    pub program: ProgramKey,
    /// The message.
    pub message: HomesMessage,
    /// How often it was sent.
    pub tries: u32,
    /// When the caller is refused.
    pub deadline_us: u64,
}

/// State of programs on its way to their new home.
#[derive(Debug, Clone)]
pub struct Transfer {
    /// The new home.
    pub to: VmName,
    /// The message.
    pub message: HomesMessage,
    /// How often it was sent.
    pub tries: u32,
}
