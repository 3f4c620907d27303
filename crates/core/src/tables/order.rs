//! Orders to the engines of a service.

use super::{Bucket, Table};
use crate::ids::{FencingToken, UpstreamName};
use crate::output::OrderAction;

/// Orders to the engines of a service, kept by the owner of the orders.
#[derive(Debug, Default)]
pub struct ServiceOrders {
    /// The number of the last order.
    pub seq: u64,
    /// Loads that the weight store still allows.
    pub loads: Bucket,
    /// Orders without an answer.
    pub open: Table<UpstreamName, PendingOrder>,
}

/// An order without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// Its fencing token.
    pub token: FencingToken,
    /// What the engine was told to do.
    pub action: OrderAction,
    /// When it was sent.
    pub sent_us: u64,
}
