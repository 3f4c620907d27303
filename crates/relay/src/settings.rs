//! Settings of the two roles, as an adapter makes them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bon::Builder;
use knapweeddale_core::CoreSettings;

/// Settings of a VM that relays calls.
#[derive(Debug, Clone, Builder)]
pub struct RelaySettings {
    /// Settings of the core.
    pub core: CoreSettings,
    /// Where callers are served.
    pub listen: SocketAddr,
    /// Where the load balancer asks whether this VM may get calls.
    pub ready_listen: SocketAddr,
    /// Where other VMs reach this one, over UDP for summaries and TCP for snapshots.
    pub peer_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: Option<SocketAddr>,
    /// Time within which the process has to end after it was asked to.
    #[builder(default = Duration::from_secs(8))]
    pub grace: Duration,
    /// Time after which the load balancer has noticed that this VM is not ready.
    #[builder(default = Duration::from_millis(2_500))]
    pub drain_notice: Duration,
    /// Inputs that may wait for the control thread.
    #[builder(default = 4_096)]
    pub input_queue_len: usize,
    /// Longest body of a request while no configuration states it.
    #[builder(default = 4_194_304)]
    pub max_body_bytes: usize,
}

/// Settings of a VM that keeps charge records.
#[derive(Debug, Clone, Builder)]
pub struct StorageSettings {
    /// The name of the VM.
    pub vm: String,
    /// Where other VMs reach this one.
    pub peer_listen: SocketAddr,
    /// The folder for charge records.
    pub data_folder: PathBuf,
    /// Interval between two looks at the requests to empty this VM.
    #[builder(default = Duration::from_millis(2_500))]
    pub retirement_interval: Duration,
}
