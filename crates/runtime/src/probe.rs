//! Requests to probe upstreams whose connections broke.

use std::sync::Arc;

use knapweeddale_core::input::ProbeState;
use knapweeddale_core::{Control, Input, UpstreamName};
use tokio::sync::mpsc;

/// A request to probe an upstream.
#[derive(Debug)]
pub struct ProbeOrder {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Its address as `ip:port`.
    pub address: Arc<str>,
}

/// Queues a probe, or returns its result as an input if it cannot be queued.
///
/// An upstream that cannot be probed counts as alive, so that no request is suspected of a crash
/// without evidence.
pub fn order_probe(
    orders: &mpsc::Sender<ProbeOrder>,
    upstream: UpstreamName,
    control: &Control,
) -> Option<Input> {
    let row = control.tables().upstreams.get(&upstream);
    let order = row.map(|row| ProbeOrder {
        upstream: upstream.clone(),
        address: Arc::clone(&row.address),
    });
    let is_ordered = order.is_some_and(|order| orders.try_send(order).is_ok());
    let state = ProbeState::Up;
    (!is_ordered).then_some(Input::Probed { upstream, state })
}
