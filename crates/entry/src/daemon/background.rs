//! Background tasks, which run until the process ends.

use std::sync::Arc;
use std::time::Duration;

use knapweeddale_config::Settings;
use knapweeddale_core::output::Order;
use knapweeddale_runtime::{Clock, ProbeRequest};
use knapweeddale_store::{CountingApi, ObjectApi};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::front::SharedState;
use crate::known_peers::query_known_peers;
use crate::store::{ViewRequest, poll_vms, serve_views, watch_config};
use crate::upstream::{ReleaseRequest, poll_loads, serve_orders, serve_probes, serve_releases};

/// Interval at which the counts of store calls are copied to the metrics.
const COUNTS_INTERVAL: Duration = Duration::from_secs(1);

/// The receiving ends of the control thread's queues to background tasks.
pub(super) struct OutputQueues {
    pub view_requests: mpsc::Receiver<ViewRequest>,
    pub release_requests: mpsc::Receiver<ReleaseRequest>,
    pub probe_requests: mpsc::Receiver<ProbeRequest>,
    pub model_orders: mpsc::Receiver<Order>,
}

/// Starts the background tasks, which run until the process ends.
pub(super) fn start<A: ObjectApi, C: Clock>(
    api: &Arc<CountingApi<A>>,
    shared: &Arc<SharedState<C>>,
    settings: &Settings,
    queues: OutputQueues,
) -> JoinSet<()> {
    let inputs = || shared.inputs.clone();
    let status = || shared.status.clone();
    let client = || shared.upstream.clone();
    let vm = || shared.vm.clone();
    let mut tasks = JoinSet::new();
    tasks.spawn(serve_views(Arc::clone(api), queues.view_requests, inputs()));
    tasks.spawn(watch_config(Arc::clone(api), settings.vm.clone(), inputs()));
    tasks.spawn(poll_vms(Arc::clone(api), vm(), status(), inputs()));
    tasks.spawn(poll_loads(client(), vm(), status(), inputs()));
    tasks.spawn(serve_releases(client(), queues.release_requests, inputs()));
    tasks.spawn(serve_orders(
        client(),
        shared.clock.clone(),
        settings.order_ms,
        queues.model_orders,
        inputs(),
    ));
    let last_requests = shared.last_requests.clone();
    tasks.spawn(serve_probes(
        client(),
        queues.probe_requests,
        last_requests,
        inputs(),
    ));
    let peers = settings.known_peers.clone();
    let options = shared.peer_options.clone();
    tasks.spawn(query_known_peers(options, peers, status()));
    let (api, metrics) = (Arc::clone(api), Arc::clone(&shared.metrics));
    tasks.spawn(async move {
        loop {
            metrics.set_store_counts(&api.counts());
            sleep(COUNTS_INTERVAL).await;
        }
    });
    tasks
}
