//! Orders to upstreams to load or unload models.

use std::sync::Arc;

use derive_more::Display;

use crate::ids::{FencingToken, ModelName, UpstreamName};

/// An order to load or unload a model on an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The upstream that receives the order.
    pub upstream: UpstreamName,
    /// The upstream's address as `ip:port`.
    pub address: Arc<str>,
    /// Lets the upstream reject orders from an earlier owner.
    pub token: FencingToken,
    /// Deadline for sending the order, on this VM's clock.
    pub valid_until_us: u64,
    /// What the upstream has to do.
    pub action: OrderAction,
}

/// The action that an order requests.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    #[display("load {_0}")]
    Load(ModelName),
    /// Unload a model.
    #[display("unload {_0}")]
    Unload(ModelName),
}
