//! State that all requests share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use knapweeddale_core::{ModelName, ServiceName, VmName};
use knapweeddale_peer::{PeerCounts, PeerOptions};
use knapweeddale_token::Signer;

use knapweeddale_runtime::CallIds;

use crate::call::{InFlight, ResponseCache};
use crate::control::{InputSender, StatusReader};
use crate::metrics::Metrics;
use crate::upstream::{LastRequestTimes, UpstreamClient};
use knapweeddale_runtime::Clock;

/// Metric label of services that are not in the configuration.
const UNKNOWN_SERVICE: &str = "unknown";

/// State that all requests share.
#[derive(Debug)]
pub(crate) struct SharedState<C> {
    pub vm: VmName,
    pub inputs: InputSender,
    pub clock: C,
    pub upstream: UpstreamClient,
    pub last_requests: LastRequestTimes,
    pub signer: Signer,
    pub response_cache: ResponseCache,
    pub metrics: Arc<Metrics>,
    pub in_flight: InFlight,
    pub ids: CallIds,
    pub status: StatusReader,
    pub lease_until_us: Arc<AtomicU64>,
    pub draining: AtomicBool,
    pub peer_options: PeerOptions,
    pub peer_counts: Arc<PeerCounts>,
    pub max_body_bytes: u64,
    pub response_queue_len: usize,
}

impl<C: Clock> SharedState<C> {
    /// Returns the metric label of a service: its name if it is configured, else `unknown`.
    pub fn service_label(&self, service: &ServiceName) -> String {
        let status = self.status.borrow();
        let is_known = status.fleet.services.iter().any(|row| row.name == *service);
        let name = if is_known {
            service.as_str()
        } else {
            UNKNOWN_SERVICE
        };
        name.to_owned()
    }

    /// Returns the metric label of the service that offers a model, or `unknown`.
    pub fn model_label(&self, model: &ModelName) -> String {
        let status = self.status.borrow();
        let service = status.fleet.services.iter().find(|row| row.offers(model));
        let name = service.map_or(UNKNOWN_SERVICE, |row| row.name.as_str());
        name.to_owned()
    }

    /// Returns the reasons why this VM is not ready for calls; empty if it is ready.
    pub fn unready_reasons(&self) -> Vec<&'static str> {
        let status = self.status.borrow();
        let checks = [
            (self.draining.load(Ordering::Relaxed), "stopping"),
            (status.fleet.revision.0 == 0, "no configuration"),
            (status.view.member(&self.vm).is_none(), "not a member"),
            (
                self.lease_until_us.load(Ordering::Relaxed) <= self.clock.now_us(),
                "no lease",
            ),
        ];
        let failed = checks.into_iter().filter(|(is_failed, _)| *is_failed);
        failed.map(|(_, reason)| reason).collect()
    }
}
