//! Handler of requests from other VMs.

use std::sync::Arc;

use knapweeddale_core::{CallId, ContentDigest};
use knapweeddale_peer::{CachedResponse, Delivery, PeerHandler};

use crate::control::Message;
use crate::front::SharedState;
use knapweeddale_runtime::Clock;

/// Queues messages of other VMs for the control thread and serves cached responses to them.
pub(crate) struct Inbox<C>(pub Arc<SharedState<C>>);

impl<C: Clock> PeerHandler for Inbox<C> {
    fn handle_delivery(&self, delivery: Delivery) {
        let message = Message::Delivery(delivery);
        if self.0.inputs.try_send(message).is_err() {
            self.0.metrics.count_lost_delivery();
        }
    }

    fn fetch_response(&self, call: CallId, digest: ContentDigest) -> Option<CachedResponse> {
        self.0
            .response_cache
            .get(call, digest)
            .map(CachedResponse::from)
    }
}
