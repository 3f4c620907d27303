//! The origins of streams: which service and software version began each of them.
//!
//! A stream that its caller takes up again, at any VM, may only go on at upstreams of its origin.

mod copies;
mod rpc;
mod server;
mod table;
mod writer;

pub(crate) use rpc::OriginRpcServer;
pub(crate) use server::OriginServer;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use knapweeddale_core::StreamOrigin;
use tokio::time::Instant;

use self::copies::OriginCopies;
use self::table::OriginTable;
use self::writer::OriginWriter;
use crate::metrics::Metrics;
use crate::storage_vms::StorageVms;

/// The result of looking an origin up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OriginLookup {
    /// The stream began there.
    Found(StreamOrigin),
    /// Enough storage VMs have answered that they do not know the stream.
    Unknown,
    /// Too few storage VMs have answered in time.
    Unanswered,
}

/// Records and finds the origins of streams by the request ID under which they began.
#[derive(Debug)]
pub(crate) struct StreamOrigins {
    /// The origins that this VM has recorded.
    table: Mutex<OriginTable>,
    /// Those of all VMs, on storage VMs.
    copies: OriginCopies,
}

impl StreamOrigins {
    /// Creates an empty table, and the task that copies its origins to storage VMs.
    pub fn new(storage: Arc<StorageVms>, metrics: Arc<Metrics>) -> (Self, OriginWriter) {
        let (copies, writer) = OriginCopies::new(storage, metrics);
        let origins = Self {
            table: Mutex::default(),
            copies,
        };
        (origins, writer)
    }

    /// Records the origin of a stream, without waiting; called before its first event is forwarded.
    ///
    /// `request_id` is that of the attempt of the caller which brings the first event of the
    /// stream, also if a later attempt goes on with it.
    pub fn record(&self, request_id: &Arc<str>, origin: StreamOrigin) {
        let is_recorded = self
            .table()
            .insert(request_id, origin.clone(), Instant::now());
        if is_recorded {
            self.copies.store(Arc::clone(request_id), origin);
        }
    }

    /// Finds the origin of the stream that began under a request ID, at any VM.
    pub async fn find(&self, request_id: &str) -> OriginLookup {
        let recorded = self.table().get(request_id, Instant::now());
        match recorded {
            Some(origin) => OriginLookup::Found(origin),
            None => self.copies.find(request_id).await,
        }
    }

    /// Waits until all recorded origins are copied, within a time limit.
    pub async fn flush(&self, limit: Duration) {
        self.copies.flush(limit).await;
    }

    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
