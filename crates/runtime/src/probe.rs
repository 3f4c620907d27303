//! Requests to probe upstreams whose connections broke.

use std::sync::Arc;

use knapweeddale_core::input::ProbeState;
use knapweeddale_core::output::ProxyVm;
use knapweeddale_core::{Control, Input, UpstreamName};
use tokio::sync::mpsc;

/// A request to probe an upstream.
#[derive(Debug)]
pub struct ProbeRequest {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Its address as `ip:port`.
    pub address: Arc<str>,
    /// The VM through which it is probed; `None` to connect directly.
    pub proxy: Option<ProxyVm>,
}

/// Queues a probe, or returns its result as an input if it cannot be queued.
///
/// An upstream that cannot be probed counts as alive, so that no request is suspected of a crash
/// without evidence.
pub fn request_probe(
    requests: &mpsc::Sender<ProbeRequest>,
    upstream: UpstreamName,
    proxy: Option<ProxyVm>,
    control: &Control,
) -> Option<Input> {
    let row = control.tables().upstreams.get(&upstream);
    let request = row.map(|row| ProbeRequest {
        upstream: upstream.clone(),
        address: Arc::clone(&row.address),
        proxy: proxy.clone(),
    });
    let is_queued = request.is_some_and(|request| requests.try_send(request).is_ok());
    let state = match proxy {
        Some(_) => ProbeState::ProxyFailed,
        None => ProbeState::Up,
    };
    let proxy = proxy.map(|proxy| proxy.vm);
    (!is_queued).then_some(Input::Probed {
        upstream,
        proxy,
        state,
    })
}
