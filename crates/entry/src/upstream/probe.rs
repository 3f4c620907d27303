//! Probes of upstreams after a connection broke.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use knapweeddale_core::input::ProbeState;
use knapweeddale_core::{Input, UpstreamName};
use serde::Deserialize;
use tokio::sync::mpsc;

use super::UpstreamClient;
use crate::control::InputSender;

/// Longest wait for the answer to a probe.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The order to probe an upstream.
#[derive(Debug)]
pub(crate) struct ProbeOrder {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its address as `ip:port`.
    pub address: Arc<str>,
}

/// The start of the process of each engine, as it stated it last.
#[derive(Debug, Clone, Default)]
pub(crate) struct Starts(Arc<Mutex<HashMap<UpstreamName, String>>>);

/// The part of a load report that names the start of the process.
#[derive(Debug, Deserialize)]
struct Start {
    #[serde(default)]
    start: Option<String>,
}

impl Starts {
    /// Keeps the start that an engine stated and returns whether it differs from the last one.
    pub fn note(&self, upstream: &UpstreamName, start: Option<&str>) -> bool {
        let Some(start) = start else {
            return false;
        };
        let mut starts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let before = starts.insert(upstream.clone(), start.to_owned());
        before.is_some_and(|before| before != start)
    }
}

/// Carries out probes until the control thread ends.
pub(crate) async fn serve_probes(
    client: UpstreamClient,
    starts: Starts,
    mut orders: mpsc::Receiver<ProbeOrder>,
    inputs: InputSender,
) {
    while let Some(order) = orders.recv().await {
        let (client, starts, inputs) = (client.clone(), starts.clone(), inputs.clone());
        tokio::spawn(async move {
            let state = probe(&client, &starts, &order).await;
            let upstream = order.upstream;
            inputs.input(Input::Probed { upstream, state }).await;
        });
    }
}

/// Asks an upstream for its load; any answer shows that it accepts connections.
async fn probe(client: &UpstreamClient, starts: &Starts, order: &ProbeOrder) -> ProbeState {
    let url = format!("http://{}/load", order.address);
    let Ok(response) = client.http().get(url).timeout(TIMEOUT).send().await else {
        return ProbeState::Down;
    };
    // A plain service has no load report, so that only its connection counts.
    let start = response.json::<Start>().await.ok().and_then(|s| s.start);
    if starts.note(&order.upstream, start.as_deref()) {
        ProbeState::Restarted
    } else {
        ProbeState::Up
    }
}
