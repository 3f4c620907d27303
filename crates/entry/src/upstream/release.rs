//! Requests to engines to release the memory of programs.

use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::{Input, ProgramKey, UpstreamName};
use serde_json::json;
use tokio::sync::{Semaphore, mpsc};

use super::UpstreamClient;
use crate::control::InputSender;

/// Timeout for the confirmation of a release; the core repeats unconfirmed releases.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of releases in flight, which bounds the connections that unresponsive engines
/// occupy.
const MAX_CONCURRENT_RELEASES: usize = 32;

/// A request to an engine to release the memory of a program.
#[derive(Debug)]
pub(crate) struct ReleaseRequest {
    /// The engine to send the request to.
    pub upstream: UpstreamName,
    /// Address of the engine as `ip:port`.
    pub address: Arc<str>,
    /// The program whose memory is released.
    pub program: ProgramKey,
    /// The generation of the program whose memory is released.
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

/// Builds the input that confirms a release to the core.
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
