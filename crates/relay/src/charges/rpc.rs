//! The exchange of charge records between VMs.

use jsonrpsee::core::RpcResult;
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
