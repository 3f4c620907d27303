//! Routes by host and path, for callers that address services by host.

use std::sync::Arc;

use bon::Builder;
use smallvec::SmallVec;

use crate::ids::ServiceName;

/// What may be done again when a request on a route fails.
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
        /// Whether a broken stream can go on at another upstream after its last event.
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

/// A service that a route leads to, with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// The part of the requests, relative to the other backends.
    pub weight: u32,
}

/// A route by host and path.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HostRoute {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that callers name, in lower case.
    pub host: Arc<str>,
    /// The start of the path; the longest match among the routes of a host wins.
    pub path_prefix: Arc<str>,
    /// What may be done again when a request fails.
    #[builder(default)]
    pub kind: RouteKind,
    /// The services that requests go to.
    pub backends: SmallVec<[Backend; 1]>,
    /// Longest time that a request is kept waiting for its response.
    #[builder(default = 30_000)]
    pub timeout_ms: u64,
    /// Time within which a response is on time.
    #[builder(default = 1_000)]
    pub objective_ms: u64,
    /// Longest pause between two events of a stream that is still on time.
    pub event_gap_ms: Option<u64>,
    /// The rank of the requests; 0 goes first.
    #[builder(default)]
    pub priority: u32,
    /// Upstreams to which one request may be sent.
    #[builder(default = 1)]
    pub max_attempts: u32,
    /// Whether callers need no key.
    #[builder(default)]
    pub open: bool,
    /// How long the tokens used by a program are remembered after its last turn.
    pub program_keep_ms: Option<u64>,
}

impl HostRoute {
    /// Chooses the service of a request by weight.
    ///
    /// The same `spread` always gives the same service.
    pub fn backend(&self, spread: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|row| u64::from(row.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|row| &row.service);
        }
        let mut at = spread % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if at < weight {
                return Some(&backend.service);
            }
            at -= weight;
        }
        None
    }
}

/// Bounds of what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct CallerLimits {
    /// Longest head of a request.
    pub header_bytes: usize,
    /// Longest body of a request.
    pub body_bytes: usize,
    /// Longest time for the head of a request to arrive.
    pub header_timeout_ms: u64,
    /// Longest time that a connection stays open without a request.
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
