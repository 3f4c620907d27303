//! Everything that can reach the core.

use std::sync::Arc;

use super::{AttemptEvent, NewCall, PeerNews, ProgramRequest, SourceEvent};
use crate::config::FleetConfig;
use crate::ids::{CallId, FencingToken, Incarnation, ModelName, ProgramKey, UpstreamName, VmName};
use crate::message::PeerMessage;
use crate::tables::View;

/// An input of the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// A call arrived.
    CallArrived(Box<NewCall>),
    /// A caller asks for a permit or ends a program.
    Program(Box<ProgramRequest>),
    /// An engine confirmed that it released the memory of a program.
    ReleaseConfirmed {
        /// The engine.
        upstream: UpstreamName,
        /// The program.
        program: ProgramKey,
        /// The generation that was released.
        generation: u64,
    },
    /// The caller of a call that is still waiting disconnected.
    CallAbandoned(CallId),
    /// Something happened to an attempt.
    Attempt(AttemptEvent),
    /// A message of another VM arrived.
    Peer {
        /// The sender.
        from: VmName,
        /// The start of the sender's process.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// The store answered a request or failed to.
    Store(StoreEvent),
    /// The platform's list of VMs, which may lag.
    VmList(Vec<VmStatus>),
    /// A configuration that has passed all checks.
    Config(Arc<FleetConfig>),
    /// An upstream reported its load, with a lag.
    Load {
        /// The upstream.
        upstream: UpstreamName,
        /// Calls running on it, from all VMs.
        running_calls: u32,
        /// Generated tokens a second.
        tokens_per_s: u64,
    },
    /// An upstream was probed after a connection broke.
    Probed {
        /// The upstream.
        upstream: UpstreamName,
        /// What the probe found.
        state: ProbeState,
    },
    /// An engine reported the models that it has loaded.
    Loaded {
        /// The engine.
        upstream: UpstreamName,
        /// The models.
        models: Vec<ModelName>,
        /// Calls running on it, from all VMs.
        running_calls: u32,
    },
    /// An upstream answered an order or failed to.
    OrderResult {
        /// The upstream.
        upstream: UpstreamName,
        /// The token of the order.
        token: FencingToken,
        /// The answer.
        result: OrderResult,
    },
    /// The store answered a request about configuration, upstreams, VMs or budgets.
    Source(SourceEvent),
    /// Another VM said something under `Coordination::Peers`.
    News(PeerNews),
    /// The process has been asked to stop.
    Drain,
    /// The process ends now; calls that are still open end with it.
    Halt,
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The order was carried out.
    Done,
    /// The upstream has seen a higher fencing token.
    Stale,
    /// There was no answer; the order may have been carried out.
    Unknown,
}

/// What a probe found after a connection to an upstream broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeState {
    /// A new connection works, and the process has not restarted.
    Up,
    /// A new connection works, and the process has restarted.
    Restarted,
    /// No connection was accepted.
    Down,
}

/// An answer of the platform's object API about the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The view object was read; `None` if it does not exist.
    ViewRead(Option<StoredView>),
    /// The view was written by this VM.
    ViewWritten(StoredView),
    /// The view was touched by this VM.
    ViewTouched {
        /// The version after the touch.
        version: u64,
        /// When the request was sent, on this VM's clock.
        sent_us: u64,
    },
    /// A conditional update lost against another one.
    Conflict,
    /// The store did not answer, or answered with an error.
    Unavailable,
}

/// The view with its version in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredView {
    /// The view.
    pub view: View,
    /// The version of the object.
    pub version: u64,
}

/// One entry of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmName,
    /// The address as `ip:port`.
    pub address: String,
    /// Whether the VM is being removed.
    pub leaving: bool,
}
