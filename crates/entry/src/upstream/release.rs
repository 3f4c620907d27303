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
const MAX_RUNNING: usize = 32;

/// The order to release the memory of a program at an engine.
#[derive(Debug)]
pub(crate) struct ReleaseOrder {
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
    mut orders: mpsc::Receiver<ReleaseOrder>,
    inputs: InputSender,
) {
    let room = Arc::new(Semaphore::new(MAX_RUNNING));
    while let Some(order) = orders.recv().await {
        let Ok(room) = Arc::clone(&room).acquire_owned().await else {
            return;
        };
        let (client, inputs) = (client.clone(), inputs.clone());
        tokio::spawn(async move {
            match release(&client, &order).await {
                Ok(()) => inputs.send_input(confirmation(order)).await,
                Err(error) => {
                    let (program, upstream) = (&order.program, &order.upstream);
                    tracing::debug!("homes: no release of {program} at {upstream}, {error}");
                }
            }
            drop(room);
        });
    }
}

/// Returns the input that confirms a release.
fn confirmation(order: ReleaseOrder) -> Input {
    Input::ReleaseConfirmed {
        upstream: order.upstream,
        program: order.program,
        generation: order.generation,
    }
}

/// Sends one release and waits for its confirmation.
async fn release(client: &UpstreamClient, order: &ReleaseOrder) -> reqwest::Result<()> {
    let url = format!("http://{}/cache/release", order.address);
    let body = json!({"program": order.program.to_string(), "generation": order.generation});
    let sent = client.http().post(url).timeout(TIMEOUT).json(&body).send();
    sent.await?.error_for_status()?;
    Ok(())
}
