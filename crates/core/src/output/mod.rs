//! Outputs of the core: what the process around it has to do.

mod capacity_decision;
mod charge;
mod claim_decision;
mod confinement_decision;
mod decision;
mod format;
mod link_decision;
mod membership_decision;
mod order;
mod pace_decision;
mod peer_decision;
mod placement_decision;
mod reason;
mod refusal;
mod source;

pub use capacity_decision::CapacityDecision;
pub use charge::{Charge, ChargeOutcome};
pub use claim_decision::ClaimDecision;
pub use confinement_decision::ConfinementDecision;
pub use decision::Decision;
pub use link_decision::LinkDecision;
pub use membership_decision::MembershipDecision;
pub use order::{Order, OrderAction};
pub use pace_decision::PaceDecision;
pub use peer_decision::PeerDecision;
pub use placement_decision::PlacementDecision;
pub use reason::{
    CloseReason, CrashEvidence, LimitSource, OriginEvidence, PlacementReason, RetryReason,
    TakeoverSource,
};
pub use refusal::{Execution, Refusal, RefusalKind};
pub use source::SourceRequest;

use std::sync::Arc;

use smallvec::SmallVec;

use crate::ids::{AccountName, AttemptId, CallId, ProgramKey, StreamOrigin, UpstreamName, VmName};
use crate::input::{Continuation, Permit};
use crate::message::{PeerMessage, Summary};
use crate::tables::View;
use crate::usage::UsageClaim;

/// An output of the core, to be executed by the process around it.
#[derive(Debug, Clone)]
pub enum Output {
    /// Run an attempt on an upstream.
    Dispatch(Dispatch),
    /// Stop an attempt and discard its response.
    CancelAttempt(AttemptId),
    /// Finish a call that ran.
    Answered(Box<Answered>),
    /// Refuse a call.
    Refused(Refusal),
    /// Answer a resent call with the stored response of the original call.
    Replay {
        /// The resent call.
        call: CallId,
        /// The VM that stores the response.
        vm: VmName,
        /// The original call, which ran.
        original: CallId,
        /// The continuation for the next turn, which replaces that of the stored response.
        ///
        /// The stored response has none if the home did not confirm the turn in time.
        continuation: Box<Continuation>,
        /// A permit for a non-idempotent next turn; `None` if the home issued none.
        permit: Option<Box<Permit>>,
    },
    /// Answer a request for a permit.
    PermitIssued {
        /// The request that is answered.
        request: CallId,
        /// The issued permit.
        permit: Box<Permit>,
    },
    /// Answer a request to end a program.
    ProgramEnded {
        /// The request that is answered.
        request: CallId,
    },
    /// Send a message to another VM.
    Send {
        /// The receiving VM.
        to: VmName,
        /// The message to send.
        message: PeerMessage,
    },
    /// Read or write the view in the store; answered by `Input::Store`.
    Store(StoreRequest),
    /// Ask the store about configuration, upstreams, VMs or budgets; answered by `Input::Source`.
    Source(SourceRequest),
    /// Have storage VMs record claims on the free part of a budget; answered by `Input::Claimed`.
    Claim {
        /// The claims.
        claim: Box<UsageClaim>,
        /// Addresses of VMs that may pass it on if no storage VM answers this one.
        proxies: SmallVec<[Arc<str>; 2]>,
    },
    /// Send a summary to another VM.
    SendSummary {
        /// The receiver's address as `ip:port`.
        address: Arc<str>,
        /// The summary to send.
        summary: Box<Summary>,
    },
    /// Request another VM's snapshot and answer with `PeerEvent`.
    RequestSnapshot {
        /// The receiver's address as `ip:port`.
        address: Arc<str>,
        /// Whether to include the programs that it knows.
        with_programs: bool,
    },
    /// Release the memory of a program on an engine; answered by `Input::ReleaseConfirmed`.
    ReleaseMemory {
        /// The engine that holds the memory.
        upstream: UpstreamName,
        /// The program that used the memory.
        program: ProgramKey,
        /// The generation whose memory is released.
        generation: u64,
    },
    /// Connect to an upstream after a connection to it broke, and answer with
    /// `Input::Probed`. The probe requests the load report, which reveals a restart.
    Probe {
        /// The upstream to probe.
        upstream: UpstreamName,
        /// The VM through which it is probed; `None` to connect directly.
        proxy: Option<ProxyVm>,
    },
    /// Send an order to an upstream and answer with `Input::OrderResult`.
    Order(Box<Order>),
    /// Store a charge record.
    Charge(Charge),
    /// Log a decision.
    Decision(Decision),
}

/// Another VM that passes bytes on between this one and an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ProxyVm {
    /// The name of the VM.
    pub vm: VmName,
    /// The address at which it accepts tunnels, as `ip:port`.
    pub address: Arc<str>,
}

/// An attempt to run on an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt to run.
    pub attempt: AttemptId,
    /// The upstream that runs it.
    pub upstream: UpstreamName,
    /// The upstream's address as `ip:port`.
    pub address: Arc<str>,
    /// The VM through which the attempt goes; `None` if it goes directly.
    pub proxy: Option<Box<ProxyVm>>,
    /// Whether the upstream has stated a rate, so that a response without one is reported.
    pub is_rate_limited: bool,
    /// Start of the upstream's process in Unix time; 0 if unknown.
    pub upstream_started_unix_ms: u64,
    /// The upstream's service and software version, for a stream that it begins.
    pub origin: StreamOrigin,
    /// Deadline for starting the attempt, on this VM's clock.
    pub valid_until_us: u64,
    /// Timeout for the first byte or token.
    pub first_token_ms: u64,
    /// Timeout between two parts of the response.
    pub token_gap_ms: u64,
    /// The account to charge; `None` on routes that need no key.
    pub account: Option<AccountName>,
    /// The program and its generation, under which the engine caches; `None` without a program.
    pub program: Option<(ProgramKey, u64)>,
    /// Deadline for the start of a streamed response and for the end of any other, on this VM's
    /// clock.
    pub deadline_us: u64,
    /// Deadline for the end of a stream that has started, on this VM's clock.
    pub stream_deadline_us: u64,
    /// How the response is streamed; `None` if it is not a stream of events.
    pub events: Option<StreamFormat>,
    /// How the system keeps the turn; `None` if the request carries its whole prompt.
    pub kept_turn: Option<Box<KeptTurn>>,
}

/// How the system keeps a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptTurn {
    /// How long the turn is kept after its end.
    pub retention_ms: u64,
    /// Addresses of the VMs with a disk that may keep it; `None` if all of them may.
    pub storage: Option<Box<[Arc<str>]>>,
}

/// Properties of a response that is streamed as events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamFormat {
    /// Tokens in each event.
    pub tokens_per_event: u64,
    /// Whether an interrupted stream can be resumed after its last event.
    pub is_resumable: bool,
}

/// A finished call that ran, with what its caller needs for the next turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answered {
    /// The finished call.
    pub call: CallId,
    /// The continuation for the next turn; `None` if no home confirmed one.
    pub continuation: Option<Continuation>,
    /// A permit for a non-idempotent next turn; `None` if the home issued none.
    pub permit: Option<Permit>,
}

/// A request to the platform's object API about the view object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read the view object.
    Read,
    /// Write the next view if the object still has the expected version.
    Write {
        /// The view to write.
        view: View,
        /// The version that the object must have; 0 if it must not exist.
        expected_version: u64,
    },
    /// Rewrite the current view unchanged if the object still has the expected version.
    Touch {
        /// The current view.
        view: View,
        /// The version that the object must have.
        expected_version: u64,
    },
}
