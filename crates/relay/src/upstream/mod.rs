//! The client of upstreams.
//!
//! [`pool`] keeps connections, [`connection`] sends a request and reads the head of its
//! response, [`body`] reads the body in its framing, and [`events`] divides a stream. Nothing
//! here repeats a request: what may be repeated is the core's decision.

mod body;
mod connection;
mod events;
mod pool;

pub(crate) use body::Body;
pub(crate) use connection::{Connection, ReadError, ResponseHead};
pub(crate) use events::EventReader;
pub(crate) use pool::{Pool, run_probes};
