//! The exchange of charge records between VMs.

use std::time::Duration;

use jsonrpsee::core::{ClientError, RpcResult};
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use super::ChargeRecord;

/// Records of one VM, numbered so that a repeated batch is kept once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChargeBatch {
    /// The VM with the start of its process.
    pub sender: String,
    /// Counts the batches of the sender.
    pub number: u64,
    /// The records.
    pub records: Vec<ChargeRecord>,
}

/// What a VM with a disk offers to the others.
#[rpc(client, server, namespace = "charges")]
pub(crate) trait ChargeRpc {
    /// Keeps a batch; the answer comes after the batch has been synced to the disk.
    #[method(name = "keep")]
    async fn keep(&self, batch: ChargeBatch) -> RpcResult<()>;
}

/// Sends a batch to the VM with a disk at an address.
pub(crate) async fn keep(
    address: &str,
    batch: ChargeBatch,
    limit: Duration,
) -> Result<(), ClientError> {
    let client = HttpClient::builder()
        .request_timeout(limit)
        .build(format!("http://{address}"))?;
    client.keep(batch).await
}
