//! Orders to upstreams.

use std::sync::Arc;

use derive_more::Display;

use crate::ids::{FencingToken, ModelName, UpstreamName};

/// An order to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's address as `ip:port`.
    pub address: Arc<str>,
    /// Lets the upstream refuse orders of an earlier owner.
    pub token: FencingToken,
    /// Time after which the order must not be sent, on this VM's clock.
    pub valid_until_us: u64,
    /// What the upstream has to do.
    pub action: OrderAction,
}

/// What an upstream has to do.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    #[display("load {_0}")]
    Load(ModelName),
    /// Unload a model.
    #[display("unload {_0}")]
    Unload(ModelName),
}
