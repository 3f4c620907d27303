//! The RPC server of a storage VM for claims on budgets.

use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObjectOwned;
use knapweeddale_core::usage::UsageClaim;

use super::rpc::{RecordedClaim, UsageRpcServer};
use super::store::UsageStore;

/// JSON-RPC error code for a claim that was not recorded; the sender may use another VM.
const NOT_RECORDED_CODE: i32 = -32_003;

/// Serves the claims of this VM to entry VMs.
#[derive(Debug, Clone)]
pub(crate) struct UsageServer {
    pub store: Arc<UsageStore>,
}

#[jsonrpsee::core::async_trait]
impl UsageRpcServer for UsageServer {
    async fn claim(&self, claim: UsageClaim, is_decided: bool) -> RpcResult<RecordedClaim> {
        let recorded = self.store.record(&claim, is_decided).await;
        let (is_granted, claims) = recorded.map_err(|error| {
            tracing::warn!(program = %claim.program, "usage: claim not recorded ({error})");
            ErrorObjectOwned::owned(NOT_RECORDED_CODE, error, None::<()>)
        })?;
        if claim.turn.is_some() && !is_decided && !is_granted {
            let (vm, claimed_tokens) = (&claim.own.vm, claims.tokens());
            tracing::info!(program = %claim.program, %vm, claimed_tokens, "usage: turn not granted");
        }
        Ok(RecordedClaim { is_granted, claims })
    }
}
