//! Probes of upstreams after a connection to them broke.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use knapweeddale_core::input::ProbeState;
use knapweeddale_core::{Input, UpstreamName};
use knapweeddale_runtime::ProbeRequest;
use serde::Deserialize;
use tokio::sync::mpsc;

use super::UpstreamClient;
use super::client::is_refused;
use crate::control::InputSender;

/// Timeout for a probe. The calls suspected of causing a crash wait for its result.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The time of the last request to each upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct LastRequestTimes(Arc<Mutex<HashMap<UpstreamName, Instant>>>);

impl LastRequestTimes {
    /// Records that a request to an upstream is about to be sent.
    pub fn record(&self, upstream: &UpstreamName) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.insert(upstream.clone(), Instant::now());
    }

    /// Returns the time since the last request to an upstream; `None` without a request.
    fn age(&self, upstream: &UpstreamName) -> Option<Duration> {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(upstream).map(Instant::elapsed)
    }
}

/// The field of a load report that reveals a restart.
#[derive(Debug, Deserialize)]
struct Uptime {
    uptime_ms: Option<u64>,
}

/// Probes upstreams until the control thread ends.
pub(crate) async fn serve_probes(
    client: UpstreamClient,
    mut requests: mpsc::Receiver<ProbeRequest>,
    last_requests: LastRequestTimes,
    inputs: InputSender,
) {
    while let Some(request) = requests.recv().await {
        let (client, inputs) = (client.clone(), inputs.clone());
        let last_requests = last_requests.clone();
        tokio::spawn(async move {
            let state = probe(&client, &request, &last_requests).await;
            let upstream = request.upstream;
            inputs
                .send_input(Input::Probed {
                    upstream,
                    proxy: None,
                    state,
                })
                .await;
        });
    }
}

/// Probes an upstream over a new connection.
///
/// An upstream whose uptime is shorter than the time since the last request to it has restarted.
/// One that reports no uptime, such as a plain service, counts as not restarted.
async fn probe(
    client: &UpstreamClient,
    request: &ProbeRequest,
    last_requests: &LastRequestTimes,
) -> ProbeState {
    let url = format!("http://{}/load", request.address);
    let sent = client.http_client().get(url).timeout(TIMEOUT).send().await;
    let response = match sent {
        Ok(response) => response,
        Err(error) if is_refused(&error) => return ProbeState::Down,
        Err(error) if error.is_connect() => return ProbeState::Silent,
        Err(_) => return ProbeState::Up,
    };
    let uptime = response
        .json::<Uptime>()
        .await
        .ok()
        .and_then(|l| l.uptime_ms);
    match (uptime, last_requests.age(&request.upstream)) {
        (Some(uptime_ms), Some(age)) if Duration::from_millis(uptime_ms) < age => {
            ProbeState::Restarted
        }
        _ => ProbeState::Up,
    }
}
