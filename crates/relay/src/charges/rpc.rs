//! The RPC interface that stores charge records on VMs with a disk.

use std::time::Duration;

use jsonrpsee::core::{ClientError, RpcResult};
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use super::ChargeRecord;

/// A batch of records of one VM, numbered so that a repeated batch is stored once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChargeBatch {
    /// The VM and its incarnation, or `emptied VM` for the records of a retired VM.
    pub sender: String,
    /// Sequence number of the batch among those of the sender, from 1.
    pub number: u64,
    /// The records, oldest first.
    pub records: Vec<ChargeRecord>,
}

/// The RPC interface of a VM with a disk.
#[rpc(client, server, namespace = "charges")]
pub(crate) trait ChargeRpc {
    /// Stores a batch; returns once the batch has been synced to the disk.
    #[method(name = "keep")]
    async fn store_batch(&self, batch: ChargeBatch) -> RpcResult<()>;
}

/// Sends a batch to the VM with a disk at `address` and waits until it has been stored.
pub(crate) async fn send_batch(
    address: &str,
    batch: ChargeBatch,
    limit: Duration,
) -> Result<(), ClientError> {
    let client = HttpClient::builder()
        .request_timeout(limit)
        .build(format!("http://{address}"))?;
    client.store_batch(batch).await
}
