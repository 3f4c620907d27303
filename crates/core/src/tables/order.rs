//! Orders to the engines of a service, such as loading a model.

use super::{Bucket, Table};
use crate::ids::{FencingToken, UpstreamName};
use crate::output::OrderAction;

/// Orders to the engines of a service; a row exists on the VM that owns the orders.
#[derive(Debug, Default)]
pub struct ServiceOrders {
    /// Number of the last order.
    pub seq: u64,
    /// Token bucket of model loads, which limits the load on the weight store.
    pub loads: Bucket,
    /// Orders without an answer, by engine.
    pub open: Table<UpstreamName, PendingOrder>,
}

/// An order without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// Fencing token of the order.
    pub token: FencingToken,
    /// Action that the engine has to perform.
    pub action: OrderAction,
    /// Time at which it was sent.
    pub sent_us: u64,
}
