//! The traffic side of a call: one task that relays it from arrival to the last byte.

mod attempt;
mod history;
mod matching;
mod reply;
mod request;
mod responses;
mod silence;
mod task;
mod whole;

pub(crate) use reply::{BrokenStream, CallerResponse, RelayBody, Reply, caller_guard};
pub(crate) use task::{CallContext, CallTask, to_response};
