//! The HTTP/1.1 client for upstreams.
//!
//! [`pool`] holds idle connections, [`transport`] is a connection or a tunnel through another VM,
//! [`connection`] sends a request and reads the head of its response, [`body`] decodes the body,
//! [`grammar`] holds the rules for both, and [`events`] splits a stream into events. Nothing here retries a request: the core decides
//! which requests may be retried.

mod body;
mod connection;
mod events;
mod grammar;
mod pool;
mod transport;

pub(crate) use body::{Body, Collected};
pub(crate) use connection::{Connection, Exchange, OutgoingRequest, ReadError, ResponseHead};
pub(crate) use events::{Event, EventReader};
pub(crate) use pool::{ConnectError, Path, Pool, Reuse, connect_stream, run_probes};
pub(crate) use transport::Transport;
