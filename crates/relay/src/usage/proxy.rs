//! Passes claims of entry VMs on that reach no storage VM themselves.

use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use knapweeddale_core::usage::{ClaimResult, UsageClaim};

use super::client::UsageClient;

/// The RPC interface that entry VMs serve to each other.
#[rpc(client, server, namespace = "usage")]
pub(crate) trait ClaimProxyRpc {
    /// Has storage VMs record a claim of another entry VM; it is not passed on again. The answer to a
    /// report has no meaning.
    #[method(name = "pass_on")]
    async fn pass_on(&self, claim: UsageClaim) -> RpcResult<ClaimResult>;
}

/// Passes claims on to the storage VMs that this VM reaches.
#[derive(Debug, Clone)]
pub(crate) struct ClaimProxyServer {
    pub client: Arc<UsageClient>,
}

#[jsonrpsee::core::async_trait]
impl ClaimProxyRpcServer for ClaimProxyServer {
    async fn pass_on(&self, claim: UsageClaim) -> RpcResult<ClaimResult> {
        let claim = Arc::new(claim);
        if claim.is_report() {
            let client = Arc::clone(&self.client);
            tokio::spawn(async move { client.report(&claim).await });
            return Ok(ClaimResult::Uncounted);
        }
        Ok(self.client.record(claim).await)
    }
}
