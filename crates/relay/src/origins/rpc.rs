//! The RPC interface of a storage VM for the origins of streams.

use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use knapweeddale_core::StreamOrigin;
use serde::{Deserialize, Serialize};

/// The origin of a stream as it is sent between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginRecord {
    /// The ID of the request that brought the first event.
    pub id: Arc<str>,
    /// Where the stream began.
    pub origin: StreamOrigin,
}

/// The RPC interface of a storage VM.
#[rpc(client, server, namespace = "origins")]
pub(crate) trait OriginRpc {
    /// Stores origins in memory.
    #[method(name = "store")]
    async fn store_origins(&self, records: Vec<OriginRecord>) -> RpcResult<()>;

    /// Returns the origin of the stream that the request with this ID began.
    #[method(name = "find")]
    async fn find_origin(&self, id: Arc<str>) -> RpcResult<Option<StreamOrigin>>;
}
