//! Routes by host and path, for relayed calls, which address a service by its host.

use std::sync::Arc;

use bon::Builder;
use smallvec::SmallVec;

use crate::ids::{RegionName, ServiceName};

/// How a failed request on a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run once at most.
    #[default]
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether a broken stream can be resumed after its last event on another upstream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a weighted part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Backend {
    /// Name of a service in the same configuration.
    pub service: ServiceName,
    /// Part of the requests, relative to the other backends of the route.
    pub weight: u32,
}

/// A route by host and path.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HostRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that callers address, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path; among the routes of a host, the longest match wins.
    pub path_prefix: Arc<str>,
    /// How a failed request may be retried.
    #[builder(default)]
    pub kind: RouteKind,
    /// Services that receive the requests.
    pub backends: SmallVec<[Backend; 1]>,
    /// Timeout of a request, counted from its arrival.
    #[builder(default = 30_000)]
    pub timeout_ms: u64,
    /// Latency objective: a response within this time is on time.
    #[builder(default = 1_000)]
    pub objective_ms: u64,
    /// Objective for the longest pause between two events of a stream, if there is one.
    pub event_gap_ms: Option<u64>,
    /// Priority of the requests; 0 is the highest.
    #[builder(default)]
    pub priority: u32,
    /// Highest number of upstreams to which one request is sent.
    #[builder(default = 1)]
    pub max_attempts: u32,
    /// Whether callers need no key.
    #[builder(default)]
    pub open: bool,
    /// How long the token use of a program is kept after its last turn; if absent, 60 s.
    pub program_keep_ms: Option<u64>,
    /// How long the system keeps a turn after its end; if absent, turns carry their whole prompt.
    pub history_ms: Option<u64>,
    /// Regions in which the requests may run; empty if they may run anywhere.
    #[builder(default)]
    #[cfg_attr(feature = "serde", serde(default))]
    pub allowed_regions: SmallVec<[RegionName; 2]>,
}

impl HostRoute {
    /// Selects a service by weight; the same `spread_hash` always gives the same service.
    ///
    /// Returns `None` if the route has no backends.
    pub fn select_backend(&self, spread_hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|row| u64::from(row.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|row| &row.service);
        }
        let mut offset = spread_hash % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if offset < weight {
                return Some(&backend.service);
            }
            offset -= weight;
        }
        None
    }

    /// Returns the only service that the route may select, if there is just one.
    pub fn only_backend(&self) -> Option<&ServiceName> {
        let mut services = self.backends.iter().map(|row| &row.service);
        let mut selectable = services
            .by_ref()
            .filter(|name| self.find_backend(name).is_some());
        let only = selectable.next()?;
        selectable.next().is_none().then_some(only)
    }

    /// Returns the name of a service if the route may select it.
    pub fn find_backend(&self, service: &ServiceName) -> Option<&ServiceName> {
        let has_weights = self.backends.iter().any(|row| row.weight > 0);
        let mut selectable = self.backends.iter().filter(|row| row.weight > 0);
        let found = if has_weights {
            selectable.find(|row| row.service == *service)
        } else {
            self.backends.first().filter(|row| row.service == *service)
        };
        found.map(|row| &row.service)
    }
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct CallerLimits {
    /// Maximum size of a request's header section.
    pub header_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Timeout for receiving a request's header section.
    pub header_timeout_ms: u64,
    /// Time after which a connection without a request is closed.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}
