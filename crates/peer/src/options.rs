//! Limits and identity of the exchange with other VMs.

use std::fmt;
use std::time::Duration;

use bon::Builder;
use knapweeddale_core::{Incarnation, VmName};

/// Identity of this VM and limits of the exchange with other VMs.
#[derive(Clone, Builder)]
pub struct PeerOptions {
    /// The name of this VM.
    pub vm: VmName,
    /// The address at which other VMs reach this one, as `ip:port`.
    #[builder(into)]
    pub address: String,
    /// The number of this start of the process.
    pub incarnation: Incarnation,
    /// The secret that all VMs share.
    #[builder(into)]
    pub secret: String,
    /// Largest body of a request.
    #[builder(default = 256 * 1024)]
    pub max_body_bytes: u32,
    /// Largest body of a response; a kept answer is the largest.
    #[builder(default = 2 * 1024 * 1024)]
    pub max_answer_bytes: u32,
    /// Messages that wait for one peer. At 1 ms for a round trip, they are one batch or two.
    #[builder(default = 1_024)]
    pub queue_len: usize,
    /// Longest wait for the response of a peer.
    #[builder(default = Duration::from_secs(2))]
    pub request_timeout: Duration,
    /// Longest silence on an open connection before the server closes it.
    #[builder(default = Duration::from_secs(30))]
    pub idle_timeout: Duration,
    /// First pause after a failed request.
    #[builder(default = Duration::from_millis(50))]
    pub backoff_min: Duration,
    /// Longest pause after failed requests; below the default `suspect_ms`, so
    /// that a peer that returns is reached before it is suspected again.
    #[builder(default = Duration::from_millis(1_000))]
    pub backoff_max: Duration,
    /// Connections accepted at once.
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
