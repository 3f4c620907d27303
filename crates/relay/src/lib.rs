//! Relays calls that carry their whole prompt.
//!
//! [`Relay`] serves callers over HTTP/1.1, lets the decision core choose upstreams, and streams
//! responses back as they arrive. [`Storage`] stores charge records on VMs with a disk. Both are
//! generic over a [`FleetStore`], which accesses the store of the platform, and [`Relay`] also
//! over a [`Dialect`], which encodes the headers of callers and upstreams. Neither depends on a
//! platform.
//!
//! The front end is built on `hyper` and the upstream client on `httparse` instead of `rocket`
//! and `reqwest`: the request path has to handle raw paths, partly read bodies, broken connections
//! and late second responses, and the libraries must not retry anything by themselves.

mod adapter;
mod call;
mod charges;
mod control;
mod daemon;
mod explain;
mod front;
pub mod logs;
mod memory;
mod metrics;
mod origins;
pub mod peers;
mod settings;
mod storage;
mod storage_clients;
mod storage_vms;
mod store;
mod synced_log;
mod tunnel;
mod turns;
mod upstream;
mod usage;
mod wall_clock;

pub use adapter::{
    BadRequest, CallHead, Dialect, FleetStore, ForwardContext, LocalResponse, ResponseInfo,
    Retirement,
};
pub use charges::{ChargeList, ChargeRecord, ListError, list_charges};
pub use daemon::{Relay, StartError};
pub use explain::{ExplainError, Explanation, explain, explain_logs};
pub use metrics::Metrics;
pub use settings::{RelaySettings, StorageSettings};
pub use storage::Storage;
pub use tunnel::{OpenError, OpenReply, TunnelStream};
pub use turns::{CopyCounts, TurnList, list_turns};
