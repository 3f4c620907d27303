//! The origins of streams: which service and software version began each of them.
//!
//! A stream that its caller takes up again, at any VM, may only go on at upstreams of its origin.

mod table;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use knapweeddale_core::StreamOrigin;
use tokio::time::Instant;

use self::table::OriginTable;

/// Records and finds the origins of streams by the request ID under which they began.
#[derive(Debug, Default)]
pub(crate) struct StreamOrigins {
    table: Mutex<OriginTable>,
}

impl StreamOrigins {
    /// Records the origin of a stream, without waiting; called before its first event is forwarded.
    ///
    /// `request_id` is that of the attempt of the caller which brings the first event of the
    /// stream, also if a later attempt goes on with it.
    pub fn record(&self, request_id: &Arc<str>, origin: StreamOrigin) {
        self.table().insert(request_id, origin, Instant::now());
    }

    /// Finds the origin of the stream that began under a request ID.
    #[expect(
        clippy::unused_async,
        reason = "records of other VMs are looked up over the network"
    )]
    pub async fn find(&self, request_id: &str) -> Option<StreamOrigin> {
        self.table().get(request_id, Instant::now())
    }

    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
