//! The entry daemon of knapweeddale.
//!
//! [`Daemon`] serves callers over HTTP, drives the decision core in a control
//! thread of its own, calls upstreams and exchanges messages with other VMs.
//! The binary `knapweeddale-entry` is a thin wrapper around it.

mod call;
mod control;
mod daemon;
mod front;
mod inbox;
mod known_peers;
pub mod logs;
mod metrics;
mod options;
mod store;
mod upstream;

pub use daemon::{Daemon, StartError, UnfinishedCalls, read_secret};
pub use knapweeddale_runtime::{Clock, MonotonicClock};
pub use metrics::Metrics;
pub use options::Options;
