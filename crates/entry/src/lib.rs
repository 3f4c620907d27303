//! The entry daemon of knapweeddale.
//!
//! [`Daemon`] serves callers over HTTP, runs the decision core on a dedicated control thread,
//! sends requests to upstreams and exchanges messages with other VMs. The binary
//! `knapweeddale-entry` is a thin wrapper around it.

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
