//! Serves callers, the load balancer and the reader of metrics over HTTP/1.1.

mod listener;
mod service;
mod shared;

pub(crate) use listener::{ConnectionTracker, serve};
pub(crate) use service::ListenerKind;
pub(crate) use shared::SharedState;
