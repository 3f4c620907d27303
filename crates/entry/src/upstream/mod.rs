//! The client of upstreams.

mod client;
mod completion;
mod events;
mod headers;
mod loads;
mod orders;
mod probe;
mod release;

pub(crate) use client::{UpstreamClient, UpstreamRequest, UpstreamTimes};
pub(crate) use completion::{Completion, Step};
pub(crate) use events::{EventError, EventReader};
pub(crate) use headers::{forwardable, returnable};
pub(crate) use loads::poll_loads;
pub(crate) use orders::serve_orders;
pub(crate) use probe::{LastAlive, serve_probes};
pub(crate) use release::{ReleaseOrder, serve_releases};
