//! Relays calls that carry their whole prompt.
//!
//! [`Relay`] serves callers over HTTP/1.1, lets the decision core choose upstreams, and passes
//! responses on as they arrive. [`Storage`] keeps charge records on VMs with a disk. Both are
//! generic over a [`Dialect`], which knows the headers of callers and upstreams, and a
//! [`FleetStore`], which knows the store of the platform; neither names a platform.
//!
//! The front end is built on `hyper` and the upstream client on `httparse` instead of `rocket`
//! and `reqwest`: the path has to see raw paths, half-read bodies, broken connections and late
//! second responses, and must not retry anything by itself.

mod adapter;
mod call;
mod charges;
mod control;
mod daemon;
mod explain;
mod front;
pub mod logs;
mod metrics;
mod peers;
mod settings;
mod storage;
mod store;
mod upstream;
mod wall_clock;

pub use adapter::{
    AnswerHead, BadRequest, CallHead, Dialect, FleetStore, Forward, OwnAnswer, Retirement,
};
pub use charges::{ChargeList, ChargeRecord, ListError, list_charges};
pub use daemon::{Relay, StartError};
pub use explain::{ExplainError, Explanation, explain, explain_logs};
pub use metrics::Metrics;
pub use settings::{RelaySettings, StorageSettings};
pub use storage::Storage;
