//! Serves and fetches snapshots, for VMs that have just started or missed a change.

use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use knapweeddale_core::{Input, PeerEvent, Snapshot};
use tokio::sync::{mpsc, oneshot};

use crate::control::{InputSender, Message, SnapshotRequest};

/// Time limit for fetching a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum size of a snapshot; the configuration in it has a megabyte at most.
const MAX_SNAPSHOT_BYTES: u32 = 16 * 1024 * 1024;

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
pub(crate) async fn fetch_snapshots(
    mut requests: mpsc::Receiver<SnapshotRequest>,
    inputs: InputSender,
) {
    while let Some(request) = requests.recv().await {
        let news = match fetch_snapshot(&request).await {
            Ok(snapshot) => PeerEvent::Snapshot {
                sent_us: request.sent_us,
                snapshot: Box::new(snapshot),
            },
            Err(error) => {
                let address = &request.address;
                tracing::warn!(%address, "peers: snapshot cannot be fetched ({error})");
                PeerEvent::SnapshotFailed
            }
        };
        inputs.send_input(Input::PeerEvent(news)).await;
    }
}

/// Fetches the snapshot of one VM.
async fn fetch_snapshot(
    request: &SnapshotRequest,
) -> Result<Snapshot, jsonrpsee::core::ClientError> {
    let client = HttpClient::builder()
        .request_timeout(SNAPSHOT_TIMEOUT)
        .max_response_size(MAX_SNAPSHOT_BYTES)
        .build(format!("http://{}", request.address))?;
    client.snapshot(request.with_programs).await
}
