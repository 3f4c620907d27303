//! What this VM knows of its own links to upstreams.

use super::Table;
use crate::ids::VmName;

/// This VM's link to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Link {
    /// Connections work, as far as this VM knows.
    #[default]
    Up,
    /// Taken for lost since this VM found that it is cut off; not tried since.
    AssumedLost,
    /// Connections of this VM fail although another VM reaches the upstream.
    Lost,
}

/// Pause of a VM that has failed as a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProxyPause {
    /// End of the pause.
    pub until_us: u64,
    /// Length of the pause; doubled if the VM fails again soon after it.
    pub length_us: u64,
}

/// State of this VM's links to all upstreams.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLinks {
    /// Whether this VM is taken for cut off from all upstreams.
    pub is_cut_off: bool,
    /// Time at which it found that.
    pub cut_off_us: u64,
    /// Time at which an upstream accepted a connection again; 0 if this VM was never cut off.
    pub restored_us: u64,
    /// Links that were found lost since an upstream last accepted a connection of this VM.
    pub losses: u32,
    /// Position of the link that is probed next, among those that are lost.
    pub next_probe: usize,
    /// Whether the timer for the next probe is set.
    pub is_probe_due: bool,
    /// Pauses of other VMs that have failed as proxies.
    pub proxy_pauses: Table<VmName, ProxyPause>,
    /// Running attempts of this VM by the VM that is their proxy.
    pub proxied_attempts: Table<VmName, u32>,
}
