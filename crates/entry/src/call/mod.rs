//! The traffic side of a call: one task from arrival to the last byte.

mod answers;
mod attempt;
mod describe;
mod in_flight;
mod reply;
mod task;

pub(crate) use answers::KeptAnswers;
pub(crate) use in_flight::{InFlight, InFlightGuard};
pub(crate) use reply::{EVENT_STREAM, Reply, ReplyPart};
pub(crate) use task::{CallKind, CallTask, NewTask};
