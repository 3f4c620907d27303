//! Communication with upstreams.

mod client;
mod completion;
mod events;
mod headers;
mod loads;
mod orders;
mod probe;
mod release;

pub(crate) use client::{UpstreamClient, UpstreamRequest, UpstreamTimeouts};
pub(crate) use completion::{Completion, EventKind};
pub(crate) use events::{EventError, EventReader};
pub(crate) use headers::{filter_request_headers, filter_response_headers};
pub(crate) use loads::poll_loads;
pub(crate) use orders::serve_orders;
pub(crate) use probe::{LastRequestTimes, serve_probes};
pub(crate) use release::{ReleaseRequest, serve_releases};
