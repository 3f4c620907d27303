//! Polling of load reports from engines.

use std::time::Duration;

use futures_util::future::join_all;
use knapweeddale_core::tables::View;
use knapweeddale_core::{
    FleetConfig, Input, ModelName, PoolKey, ServiceConfig, ServiceKind, UpstreamConfig,
    UpstreamName, VmName,
};
use serde::Deserialize;

use super::UpstreamClient;
use crate::control::{InputSender, StatusReader};

/// Polling interval; engines update their reports about as often.
const INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for a report; shorter than the polling interval, so that rounds do not overlap.
const TIMEOUT: Duration = Duration::from_millis(500);

/// A load report of an engine.
#[derive(Debug, Deserialize)]
struct Load {
    running_calls: u32,
    #[serde(default)]
    tokens_per_s: u64,
    /// The loaded models; absent if the engine does not accept orders.
    #[serde(default)]
    models: Option<Vec<String>>,
}

/// Polls the load of the engines whose pools or orders this VM owns.
pub(crate) async fn poll_loads(
    client: UpstreamClient,
    vm: VmName,
    status: StatusReader,
    inputs: InputSender,
) {
    loop {
        let engines = {
            let status = status.borrow();
            find_owned_engines(&status.fleet, &status.view, &vm)
        };
        let reports = engines
            .into_iter()
            .map(|(upstream, address)| fetch_load(&client, upstream, address));
        for (upstream, load) in join_all(reports).await.into_iter().flatten() {
            for input in build_inputs(upstream, load) {
                inputs.send_input(input).await;
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Returns the names and addresses of the engines whose pools or orders a VM owns.
fn find_owned_engines(
    fleet: &FleetConfig,
    view: &View,
    vm: &VmName,
) -> Vec<(UpstreamName, String)> {
    let engines = fleet.services.iter().flat_map(|service| {
        let models = find_owned_models(service, view, vm);
        let gives_orders = view.orders_owner(&service.name) == Some(vm);
        let is_owned = move |upstream: &&UpstreamConfig| {
            gives_orders || upstream.models.iter().any(|model| models.contains(model))
        };
        service.upstreams.iter().filter(is_owned)
    });
    engines
        .map(|upstream| (upstream.name.clone(), upstream.address.clone()))
        .collect()
}

/// Returns the models of a service whose pools a VM owns.
fn find_owned_models(service: &ServiceConfig, view: &View, vm: &VmName) -> Vec<ModelName> {
    let ServiceKind::Engine(engine) = &service.kind else {
        return Vec::new();
    };
    let is_owned = |model: &&ModelName| {
        let pool = PoolKey {
            service: service.name.clone(),
            model: Some((*model).clone()),
        };
        view.pool_owner(&pool) == Some(vm)
    };
    engine.models.iter().filter(is_owned).cloned().collect()
}

/// Fetches the load report of one engine; `None` if the request fails.
async fn fetch_load(
    client: &UpstreamClient,
    upstream: UpstreamName,
    address: String,
) -> Option<(UpstreamName, Load)> {
    let url = format!("http://{address}/load");
    let sent = client.http_client().get(url).timeout(TIMEOUT).send();
    let load = sent
        .await
        .ok()?
        .error_for_status()
        .ok()?
        .json()
        .await
        .ok()?;
    Some((upstream, load))
}

/// Converts a load report to inputs for the core.
fn build_inputs(upstream: UpstreamName, load: Load) -> impl Iterator<Item = Input> {
    let running_calls = load.running_calls;
    let loaded = load.models.map(|models| Input::Loaded {
        upstream: upstream.clone(),
        models: models.into_iter().map(ModelName::from).collect(),
        running_calls,
    });
    let report = Input::Load {
        upstream,
        running_calls,
        tokens_per_s: load.tokens_per_s,
    };
    loaded.into_iter().chain([report])
}
