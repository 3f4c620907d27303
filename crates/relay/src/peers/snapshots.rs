//! Serves and fetches snapshots, for VMs that have just started or missed a change.

use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use knapweeddale_core::{Input, PeerNews, Snapshot};
use tokio::sync::{mpsc, oneshot};

use crate::control::{InputSender, Message, SnapshotOrder};

/// Time limit for fetching a snapshot.
const TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum size of a snapshot; the configuration in it has a megabyte at most.
const MAX_BYTES: u32 = 16 * 1024 * 1024;

/// JSON-RPC error code for a snapshot that cannot be taken now; the request may be retried.
const BUSY_CODE: i32 = -32_000;

/// The RPC interface that each VM serves to the others.
#[rpc(client, server, namespace = "state")]
pub(crate) trait StateRpc {
    /// Returns a snapshot of the VM, with its programs if `with_programs` is set.
    #[method(name = "snapshot")]
    async fn snapshot(&self, with_programs: bool) -> RpcResult<Snapshot>;
}

/// Serves snapshots of this VM to other VMs.
#[derive(Debug)]
pub(crate) struct SnapshotServer {
    pub inputs: InputSender,
}

#[jsonrpsee::core::async_trait]
impl StateRpcServer for SnapshotServer {
    async fn snapshot(&self, with_programs: bool) -> RpcResult<Snapshot> {
        let (answer, state) = oneshot::channel();
        let message = Message::Snapshot {
            with_programs,
            answer,
        };
        let busy = |text: String| ErrorObjectOwned::owned(BUSY_CODE, text, None::<()>);
        self.inputs
            .try_send(message)
            .map_err(|error| busy(error.to_string()))?;
        let state = state.await.map_err(|error| busy(error.to_string()))?;
        Ok(*state)
    }
}

/// Fetches requested snapshots of other VMs, one at a time, and queues them as inputs.
pub(crate) async fn fetch(mut orders: mpsc::Receiver<SnapshotOrder>, inputs: InputSender) {
    while let Some(order) = orders.recv().await {
        let news = match ask(&order).await {
            Ok(snapshot) => PeerNews::Snapshot {
                asked_us: order.asked_us,
                snapshot: Box::new(snapshot),
            },
            Err(error) => {
                let address = &order.address;
                tracing::warn!(%address, "peers: snapshot cannot be fetched ({error})");
                PeerNews::NoSnapshot
            }
        };
        inputs.send_input(Input::News(news)).await;
    }
}

/// Fetches the snapshot of one VM.
async fn ask(order: &SnapshotOrder) -> Result<Snapshot, jsonrpsee::core::ClientError> {
    let client = HttpClient::builder()
        .request_timeout(TIMEOUT)
        .max_response_size(MAX_BYTES)
        .build(format!("http://{}", order.address))?;
    client.snapshot(order.with_programs).await
}
