//! The RPC server of a storage VM for the origins of streams.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jsonrpsee::core::RpcResult;
use knapweeddale_core::StreamOrigin;
use tokio::time::Instant;

use super::rpc::{OriginRecord, OriginRpcServer};
use super::table::OriginTable;

/// Serves the origins in the memory of this VM to others.
#[derive(Debug, Clone, Default)]
pub(crate) struct OriginServer {
    table: Arc<Mutex<OriginTable>>,
}

impl OriginServer {
    /// Locks the table; a panic while it was held leaves its content usable.
    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[jsonrpsee::core::async_trait]
impl OriginRpcServer for OriginServer {
    async fn store_origins(&self, records: Vec<OriginRecord>) -> RpcResult<()> {
        let now = Instant::now();
        let mut table = self.table();
        for record in records {
            table.insert(&record.id, record.origin, now);
        }
        Ok(())
    }

    async fn find_origin(&self, id: Arc<str>) -> RpcResult<Option<StreamOrigin>> {
        Ok(self.table().get(&id, Instant::now()))
    }
}
