//! Calls on the traffic side: each has one task, from its arrival to the last byte sent.

mod attempt;
mod describe;
mod in_flight;
mod reply;
mod response_cache;
mod task;

pub(crate) use in_flight::{InFlight, InFlightGuard};
pub(crate) use reply::{EVENT_STREAM, Reply, ReplyPart};
pub(crate) use response_cache::ResponseCache;
pub(crate) use task::{CallContext, CallKind, CallTask};
