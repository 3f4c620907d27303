//! Settings of the two roles, built by the platform adapter.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bon::Builder;
use knapweeddale_core::{CoreSettings, DomainName, RegionName};

/// Memory that a process may use if the settings do not say it.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;

/// Settings of a VM that relays calls.
#[derive(Debug, Clone, Builder)]
pub struct RelaySettings {
    /// Settings of the core.
    pub core: CoreSettings,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which readiness checks of the load balancer are served.
    pub ready_listen: SocketAddr,
    /// Address for other VMs, over UDP for summaries and TCP for snapshots.
    pub peer_listen: SocketAddr,
    /// Address on which tunnels of other VMs are accepted, if they are.
    pub tunnel_listen: Option<SocketAddr>,
    /// Address on which metrics are served, if they are.
    pub metrics_listen: Option<SocketAddr>,
    /// Time within which the process has to end after a request to stop.
    #[builder(default = Duration::from_secs(8))]
    pub grace: Duration,
    /// Time that the load balancer needs to notice that this VM is not ready.
    #[builder(default = Duration::from_millis(2_500))]
    pub drain_notice: Duration,
    /// VMs with a disk that may lose it at the same time; each kept turn has one copy more.
    #[builder(default = 1)]
    pub tolerated_losses: usize,
    /// Capacity of the control thread's input queue.
    #[builder(default = 4_096)]
    pub input_queue_len: usize,
    /// Maximum size of a request body while there is no configuration.
    #[builder(default = 4_194_304)]
    pub max_body_bytes: usize,
    /// Memory that the process may use, in bytes.
    #[builder(default = DEFAULT_MEMORY_BYTES)]
    pub memory_bytes: usize,
}

/// Settings of a VM that stores charge records and kept turns.
#[derive(Debug, Clone, Builder)]
pub struct StorageSettings {
    /// The name of the VM.
    pub vm: String,
    /// Address for other VMs.
    pub peer_listen: SocketAddr,
    /// The folder for charge records and kept turns.
    pub data_folder: PathBuf,
    /// VMs with a disk that may lose it at the same time; each kept turn has one copy more.
    #[builder(default = 1)]
    pub tolerated_losses: usize,
    /// The region of each failure domain; copies of turns stay in their regions.
    #[builder(default)]
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Whether this is the first start of the whole system, so that the disk lacks nothing.
    #[builder(default)]
    pub is_first_start: bool,
    /// Interval at which the store is polled for a request to retire this VM.
    #[builder(default = Duration::from_millis(2_500))]
    pub retirement_interval: Duration,
    /// Memory that the process may use, in bytes.
    #[builder(default = DEFAULT_MEMORY_BYTES)]
    pub memory_bytes: usize,
}
