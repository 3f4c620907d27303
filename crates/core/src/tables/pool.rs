//! Queues of pools.

use std::collections::VecDeque;

use crate::ids::{UpstreamName, VmName};
use crate::message::Place;

/// The queue of the upstreams of one service and model.
#[derive(Debug, Default)]
pub struct Pool {
    /// The upstreams that can run its calls.
    pub upstreams: Vec<UpstreamName>,
    /// Calls that wait for an upstream.
    pub queue: VecDeque<Waiting>,
}

/// A call that waits for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The entry VM of the call.
    pub vm: VmName,
    /// The request.
    pub place: Place,
    /// When it arrived.
    pub arrived_us: u64,
}
