//! Releases of engine memory.

use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::{Input, ProgramKey, UpstreamName};
use serde_json::json;
use tokio::sync::{Semaphore, mpsc};

use super::UpstreamClient;
use crate::control::InputSender;

/// Longest wait for the confirmation of a release; the core repeats it.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Releases in flight at once, so that engines which do not answer hold no
/// more than these connections.
const MAX_CONCURRENT_RELEASES: usize = 32;

/// The request to release the memory of a program at an engine.
#[derive(Debug)]
pub(crate) struct ReleaseRequest {
    /// The engine.
    pub upstream: UpstreamName,
    /// Its address as `ip:port`.
    pub address: Arc<str>,
    /// The program.
    pub program: ProgramKey,
    /// The generation of the program that is released.
    pub generation: u64,
}

/// Sends releases until the control thread ends.
pub(crate) async fn serve_releases(
    client: UpstreamClient,
    mut requests: mpsc::Receiver<ReleaseRequest>,
    inputs: InputSender,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_RELEASES));
    while let Some(request) = requests.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let (client, inputs) = (client.clone(), inputs.clone());
        tokio::spawn(async move {
            match release(&client, &request).await {
                Ok(()) => inputs.send_input(build_confirmation(request)).await,
                Err(error) => {
                    let (program, upstream) = (&request.program, &request.upstream);
                    tracing::debug!("homes: no release of {program} at {upstream}, {error}");
                }
            }
            drop(permit);
        });
    }
}

/// Returns the input that confirms a release.
fn build_confirmation(request: ReleaseRequest) -> Input {
    Input::ReleaseConfirmed {
        upstream: request.upstream,
        program: request.program,
        generation: request.generation,
    }
}

/// Sends one release and waits for its confirmation.
async fn release(client: &UpstreamClient, request: &ReleaseRequest) -> reqwest::Result<()> {
    let url = format!("http://{}/cache/release", request.address);
    let body = json!({"program": request.program.to_string(), "generation": request.generation});
    let sent = client
        .http_client()
        .post(url)
        .timeout(TIMEOUT)
        .json(&body)
        .send();
    sent.await?.error_for_status()?;
    Ok(())
}
