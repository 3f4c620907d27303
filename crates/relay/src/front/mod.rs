//! The HTTP/1.1 server for callers, load balancer checks and metrics scrapes.

mod activity;
mod body;
mod limits;
mod listener;
mod service;
mod shared;

pub(crate) use listener::{ConnectionTracker, serve};
pub(crate) use service::ListenerKind;
pub(crate) use shared::SharedState;
