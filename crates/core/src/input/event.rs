//! All inputs of the core and the events they carry.

use std::sync::Arc;

use super::{AttemptEvent, NewCall, PeerEvent, ProgramRequest, SourceEvent};
use crate::config::FleetConfig;
use crate::ids::{CallId, FencingToken, Incarnation, ModelName, ProgramKey, UpstreamName, VmName};
use crate::message::PeerMessage;
use crate::tables::View;
use crate::usage::ClaimResult;

/// An input of the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// A call arrived.
    CallArrived(Box<NewCall>),
    /// A caller requested a permit or the end of a program.
    Program(Box<ProgramRequest>),
    /// An engine confirmed that it released the memory of a program.
    ReleaseConfirmed {
        /// The engine that released it.
        upstream: UpstreamName,
        /// The program that used the memory.
        program: ProgramKey,
        /// The generation whose memory was released.
        generation: u64,
    },
    /// The caller of a call that is still waiting disconnected.
    CallAbandoned(CallId),
    /// An attempt made progress or ended.
    Attempt(AttemptEvent),
    /// A message from another VM arrived.
    Peer {
        /// The VM that sent it.
        from: VmName,
        /// The incarnation of the sender's process.
        incarnation: Incarnation,
        /// The content of the message.
        message: PeerMessage,
    },
    /// The store answered a request for the view, or failed to.
    Store(StoreEvent),
    /// The platform's list of VMs, which may be out of date.
    VmList(Vec<ListedVm>),
    /// A validated configuration.
    Config(Arc<FleetConfig>),
    /// An upstream reported its load; reports arrive with a delay.
    Load {
        /// The upstream that reported.
        upstream: UpstreamName,
        /// Calls of all VMs that run on it.
        running_calls: u32,
        /// Tokens generated per second.
        tokens_per_s: u64,
    },
    /// An upstream was probed after a connection broke.
    Probed {
        /// The probed upstream.
        upstream: UpstreamName,
        /// The VM through which it was probed; `None` if directly.
        proxy: Option<VmName>,
        /// The result of the probe.
        state: ProbeState,
    },
    /// An upstream accepted a new connection of this VM.
    ConnectionAccepted(UpstreamName),
    /// An upstream stated in a response that it is leaving.
    UpstreamLeaving {
        /// The upstream that responded.
        upstream: UpstreamName,
        /// Start of the process that the request was dispatched to, in Unix time.
        started_unix_ms: u64,
    },
    /// An upstream stated in a response which rate it takes, that it is not limited any more, or
    /// how long it will be cold.
    UpstreamRate(UpstreamStatement),
    /// An engine reported its loaded models.
    Loaded {
        /// The engine that reported.
        upstream: UpstreamName,
        /// The loaded models.
        models: Vec<ModelName>,
        /// Calls of all VMs that run on it.
        running_calls: u32,
    },
    /// An upstream answered an order, or failed to.
    OrderResult {
        /// The upstream that received the order.
        upstream: UpstreamName,
        /// The fencing token of the order.
        token: FencingToken,
        /// The result of the order.
        result: OrderResult,
    },
    /// The store answered a request about configuration, upstreams, VMs or budgets.
    Source(SourceEvent),
    /// What became of a claim on the free part of a budget.
    Claimed {
        /// The program that has the budget.
        program: ProgramKey,
        /// The answer of the storage VMs.
        result: ClaimResult,
    },
    /// The list of VMs with a disk is wanted as the store has it now. Wishes are numbered from 1 on.
    ReadStorageVms {
        /// Number of the wish.
        number: u64,
    },
    /// Another VM sent its state under `Coordination::Peers`, or failed to.
    PeerEvent(PeerEvent),
    /// The process was asked to stop: drain this VM.
    Drain,
    /// The process was asked to stop and ends all open calls at this time; calls that may last
    /// longer are refused.
    EndCallsAt {
        /// The time, on the clock of the ticks.
        time_us: u64,
    },
    /// The process stops now, which ends all open calls.
    Halt,
}

/// What an upstream stated in one response about the rate that it takes and whether it is cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamStatement {
    /// The upstream that responded.
    pub upstream: UpstreamName,
    /// Start of the process that the request was dispatched to, in Unix time.
    pub started_unix_ms: u64,
    /// The rate that it takes from all VMs together.
    pub rate: StatedRate,
    /// How long it will still be cold; `None` if it does not state that.
    pub cold_ms: Option<u64>,
}

/// A rate as stated in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StatedRate {
    /// The response states no limit.
    #[default]
    Absent,
    /// A limit.
    PerSecond {
        /// Thousandths of a call per second.
        mcalls: u64,
    },
    /// The response states something that is no rate.
    Unreadable,
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The upstream executed the order.
    Done,
    /// The upstream has seen a higher fencing token.
    Stale,
    /// No answer arrived; the upstream may have executed the order.
    Unknown,
}

/// The result of a probe after a connection to an upstream broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeState {
    /// The upstream accepts connections and its process has not restarted.
    Up,
    /// The upstream accepts connections and its process has restarted.
    Restarted,
    /// The upstream refuses connections: no process listens at its address.
    Down,
    /// The upstream did not answer in time.
    Silent,
    /// The VM through which it was probed could not be asked.
    ProxyFailed,
}

/// An answer of the platform's object API about the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The view object was read; `None` if it does not exist.
    ViewRead(Option<StoredView>),
    /// This VM wrote a view.
    ViewWritten(StoredView),
    /// This VM rewrote the view unchanged.
    ViewTouched {
        /// The new version of the object.
        version: u64,
        /// When the request was sent, on this VM's clock.
        sent_us: u64,
    },
    /// A conditional update failed because the object had another version.
    Conflict,
    /// The store did not answer or returned an error.
    Unavailable,
}

/// A view and the version of its object in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredView {
    /// The view as stored.
    pub view: View,
    /// The version of the view object.
    pub version: u64,
}

/// One entry of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The name of the VM.
    pub vm: VmName,
    /// Its address as `ip:port`.
    pub address: String,
    /// Whether the platform is removing the VM.
    pub leaving: bool,
}
