//! Messages to the control thread, and what it sends to the tasks of calls.

use std::net::IpAddr;
use std::sync::Arc;

use knapweeddale_core::{CallId, Dispatch, Input, Refusal, Snapshot, UpstreamName};
use tokio::sync::{mpsc, oneshot};

use crate::peers::MemoryPermits;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// An input for the core.
    Input(Input),
    /// An input that opens a call, with the channel for its outputs.
    Open {
        /// ID of the call.
        call: CallId,
        /// The caller's ID of the request, for logs and charge records.
        request: Arc<str>,
        /// The input that opens the call.
        input: Input,
        /// Channel for the outputs of the call.
        outputs: mpsc::Sender<CallOutput>,
    },
    /// Another VM requests a snapshot of this one.
    Snapshot {
        /// Whether the snapshot has to include programs.
        with_programs: bool,
        /// Channel for the snapshot.
        answer: oneshot::Sender<Box<Snapshot>>,
    },
    /// A summary of another VM.
    Summary {
        /// The summary, as an input for the core.
        input: Input,
        /// The permits to keep its datagrams until the control thread has received it.
        permits: MemoryPermits,
    },
    /// Another VM asks for a tunnel to an upstream.
    ResolveTunnel {
        /// The address from which it asks.
        ip: IpAddr,
        /// The upstream.
        upstream: UpstreamName,
        /// Channel for the upstream's address; `None` if the VM or the upstream is not known.
        answer: oneshot::Sender<Option<Arc<str>>>,
    },
    /// Ends the control thread.
    Stop,
}

impl From<Input> for Message {
    fn from(input: Input) -> Self {
        Self::Input(input)
    }
}

/// The sending side of the control thread's input queue.
pub(crate) type InputSender = knapweeddale_runtime::InputSender<Message>;

/// An output of the core for one call.
#[derive(Debug)]
pub(crate) enum CallOutput {
    /// Run an attempt.
    Dispatch(Dispatch),
    /// Stop the running attempt, since the call goes on in another one.
    Cancel,
    /// The call is complete.
    Answered,
    /// The call is refused.
    Refused(Refusal),
}

/// The part of the control state that is published to traffic threads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Status {
    /// Whether the load balancer may send calls to this VM.
    pub is_ready: bool,
    /// Maximum size of a request body; 0 without a configuration.
    pub body_bytes: usize,
    /// Maximum size of a request head; 0 without a configuration.
    pub header_bytes: usize,
    /// Timeout for the head of a request.
    pub header_timeout_ms: u64,
    /// Idle timeout of callers' connections.
    pub idle_timeout_ms: u64,
}

/// A request for a snapshot of another VM.
#[derive(Debug)]
pub(crate) struct SnapshotRequest {
    pub address: Arc<str>,
    pub with_programs: bool,
    pub sent_us: u64,
}
