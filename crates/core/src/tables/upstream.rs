//! Upstreams and what runs on them.

use std::sync::Arc;

use crate::config::UpstreamConfig;
use crate::ids::{PoolKey, UpstreamName, VmName};

/// An upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its published settings.
    pub config: UpstreamConfig,
    /// Its address, shared with dispatches.
    pub address: Arc<str>,
    /// Calls that this VM, as owner of the pool, has placed on it.
    pub running_calls: u32,
    /// How many calls it may run at once.
    pub limit_calls: u32,
}

/// An attempt that runs on an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The pool that placed it.
    pub pool: PoolKey,
    /// The entry VM of the call.
    pub vm: VmName,
}
