//! The traffic side of a call: one task from arrival to the last byte.

mod attempt;
mod reply;
mod request;
mod task;

pub(crate) use reply::{Outcome, RelayBody, Reply, caller};
pub(crate) use task::{CallTask, NewTask, own_response};
