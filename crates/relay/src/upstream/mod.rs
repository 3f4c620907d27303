//! The HTTP/1.1 client for upstreams.
//!
//! [`pool`] holds idle connections, [`connection`] sends a request and reads the head of its
//! response, [`body`] decodes the body, and [`events`] splits a stream into events. Nothing here
//! retries a request: the core decides which requests may be retried.

mod body;
mod connection;
mod events;
mod pool;

pub(crate) use body::Body;
pub(crate) use connection::{Connection, Exchange, ReadError, ResponseHead};
pub(crate) use events::{Event, EventReader};
pub(crate) use pool::{Pool, Reuse, run_probes};
