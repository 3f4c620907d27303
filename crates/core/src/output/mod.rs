//! Typed outputs of the core.

mod charge;
mod decision;
mod order;
mod reason;
mod refusal;
mod source;

pub use charge::{Charge, ChargeOutcome};
pub use decision::Decision;
pub use order::{Order, OrderAction};
pub use reason::{CrashEvidence, OverReason, PlacementReason, RetryReason, TakeoverSource};
pub use refusal::{Execution, Refusal, RefusalKind};
pub use source::SourceRequest;

use std::sync::Arc;

use crate::ids::{AccountName, ProgramKey};
use crate::ids::{AttemptId, CallId, UpstreamName, VmName};
use crate::input::{Continuation, Permit};
use crate::message::{PeerMessage, Summary};
use crate::tables::View;

/// An output of the core.
#[derive(Debug, Clone)]
pub enum Output {
    /// Run an attempt on an upstream.
    Dispatch(Dispatch),
    /// Stop an attempt and discard its response.
    CancelAttempt(AttemptId),
    /// Close a call that ran.
    Answered(Box<Answered>),
    /// Refuse a call.
    Refused(Refusal),
    /// Answer a resent call with the response kept for an earlier one.
    Replay {
        /// The resent call.
        call: CallId,
        /// The VM that keeps the response.
        vm: VmName,
        /// The call that ran.
        original: CallId,
        /// The state that the caller carries to the next turn, in place of that of the response.
        ///
        /// The kept response has none if the home did not confirm the turn in time.
        continuation: Box<Continuation>,
        /// The permit for a next turn that may not be repeated.
        permit: Option<Box<Permit>>,
    },
    /// Answer a request for a permit.
    PermitIssued {
        /// The request.
        request: CallId,
        /// The permit.
        permit: Box<Permit>,
    },
    /// Answer a request to end a program.
    ProgramEnded {
        /// The request.
        request: CallId,
    },
    /// Send a message to another VM.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: PeerMessage,
    },
    /// Ask the store for something.
    Store(StoreRequest),
    /// Ask the store about configuration, upstreams, VMs or budgets.
    Source(SourceRequest),
    /// Send a summary to another VM.
    SendSummary {
        /// The receiver's address as `ip:port`.
        address: Arc<str>,
        /// The summary.
        summary: Box<Summary>,
    },
    /// Ask another VM for its state and answer with `PeerNews`.
    AskSnapshot {
        /// The receiver's address as `ip:port`.
        address: Arc<str>,
        /// Whether the programs that it knows are needed as well.
        with_programs: bool,
    },
    /// Release the engine memory of a program.
    ReleaseMemory {
        /// The engine.
        upstream: UpstreamName,
        /// The program.
        program: ProgramKey,
        /// The generation of the program that is released.
        generation: u64,
    },
    /// Connect to an upstream after a connection to it broke, and answer with
    /// `Input::Probed`. The probe asks for the load, which shows a restart.
    Probe(UpstreamName),
    /// Send an order to an upstream and answer with `Input::OrderResult`.
    Order(Box<Order>),
    /// Keep a charge record.
    Charge(Charge),
    /// Log a decision.
    Decision(Decision),
}

/// The order to run an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's address as `ip:port`.
    pub address: Arc<str>,
    /// Time after which the attempt must not start, on this VM's clock.
    pub valid_until_us: u64,
    /// Longest wait for the first byte or token.
    pub first_token_ms: u64,
    /// Longest pause within the response.
    pub token_gap_ms: u64,
    /// The account that is charged; absent on routes open to all.
    pub account: Option<AccountName>,
    /// The program and its generation, which the engine keeps its cache under.
    pub program: Option<(ProgramKey, u64)>,
    /// When the response has to begin, on this VM's clock; one that is no stream has to be
    /// complete by then.
    pub deadline_us: u64,
    /// When a stream that has begun has to end, on this VM's clock.
    pub stream_deadline_us: u64,
    /// Whether the response is a stream of events, and the tokens in each of them.
    pub events: Option<EventForm>,
}

/// What is known of the events of a streamed response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventForm {
    /// Tokens in one event.
    pub tokens_per_event: u64,
    /// Whether a broken stream may go on after its last event.
    pub is_resumable: bool,
}

/// The end of a call that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answered {
    /// The call.
    pub call: CallId,
    /// The state that the caller carries to the next turn.
    pub continuation: Option<Continuation>,
    /// The permit for a next turn that may not be repeated.
    pub permit: Option<Permit>,
}

/// A request to the platform's object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read the view object.
    Read,
    /// Write the next view if the object still has this version; 0 if it must not exist.
    Write {
        /// The new view.
        view: View,
        /// The version that the object must have.
        expected_version: u64,
    },
    /// Write the present view unchanged if the object still has this version.
    Touch {
        /// The present view.
        view: View,
        /// The version that the object must have.
        expected_version: u64,
    },
}
