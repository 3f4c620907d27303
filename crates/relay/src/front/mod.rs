//! Serves callers, the load balancer and the reader of metrics over HTTP/1.1.

mod listener;
mod service;
mod shared;

pub(crate) use listener::{Doors, serve};
pub(crate) use service::Door;
pub(crate) use shared::Shared;
