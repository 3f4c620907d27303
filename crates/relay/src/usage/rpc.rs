//! The RPC interface of a storage VM for claims on budgets.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use knapweeddale_core::usage::{ProgramClaims, UsageClaim};
use serde::{Deserialize, Serialize};

/// The answer to a claim that is on the disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordedClaim {
    /// Whether the turn of the claim may use the free part.
    pub is_granted: bool,
    /// All claims on the budget that this VM knows.
    pub claims: ProgramClaims,
}

/// The RPC interface of a storage VM.
#[rpc(client, server, namespace = "usage")]
pub(crate) trait UsageRpc {
    /// Records a claim; returns once it is synced to the disk.
    ///
    /// If `is_decided` is set, another storage VM decides about the turn of the claim, which counts
    /// here in any case.
    #[method(name = "claim")]
    async fn claim(&self, claim: UsageClaim, is_decided: bool) -> RpcResult<RecordedClaim>;
}
