//! Settings of the connections to other VMs.

use std::fmt;
use std::time::Duration;

use bon::Builder;
use knapweeddale_core::{Incarnation, VmName};

/// Identity of this VM, and limits and timeouts of the connections to other VMs.
#[derive(Clone, Builder)]
pub struct PeerOptions {
    /// Name of this VM.
    pub vm: VmName,
    /// Address at which other VMs reach this one, as `ip:port`.
    #[builder(into)]
    pub address: String,
    /// Incarnation of this process; it changes with every start.
    pub incarnation: Incarnation,
    /// Secret shared by all VMs of the fleet.
    #[builder(into)]
    pub secret: String,
    /// Maximum size of a request body.
    #[builder(default = 256 * 1024)]
    pub max_body_bytes: u32,
    /// Maximum size of a response body; cached responses are the largest.
    #[builder(default = 2 * 1024 * 1024)]
    pub max_response_bytes: u32,
    /// Capacity of the queue to one peer. A full queue is sent in one or two batches, each in
    /// a round trip of about 1 ms.
    #[builder(default = 1_024)]
    pub queue_len: usize,
    /// Timeout of a request to a peer, also for its connection attempt.
    #[builder(default = Duration::from_secs(2))]
    pub request_timeout: Duration,
    /// Time without received data after which the server closes a connection.
    #[builder(default = Duration::from_secs(30))]
    pub idle_timeout: Duration,
    /// Backoff delay after the first failed request.
    #[builder(default = Duration::from_millis(50))]
    pub backoff_min: Duration,
    /// Maximum backoff delay; below the default `suspect_ms`, so that a peer that
    /// returns is reached before it is suspected again.
    #[builder(default = Duration::from_millis(1_000))]
    pub backoff_max: Duration,
    /// Maximum number of concurrent connections to the server.
    #[builder(default = 2_048)]
    pub max_connections: u32,
}

impl fmt::Debug for PeerOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerOptions")
            .field("vm", &self.vm)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}
