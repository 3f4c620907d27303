//! The client of upstreams.

mod client;
mod completion;
mod events;
mod headers;
mod loads;
mod probe;
mod release;

pub(crate) use client::{UpstreamClient, UpstreamRequest, UpstreamTimes};
pub(crate) use completion::{Completion, Step};
pub(crate) use events::{EventError, EventReader};
pub(crate) use headers::{forwardable, returnable};
pub(crate) use loads::poll_loads;
pub(crate) use probe::{ProbeOrder, Starts, serve_probes};
pub(crate) use release::{ReleaseOrder, serve_releases};
