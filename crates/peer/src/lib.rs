//! Messages between the VMs of knapweeddale.
//!
//! VMs call each other by JSON-RPC over HTTP with two methods: `deliver`
//! carries a batch of core messages, `fetch_answer` fetches a cached response.
//! Every request carries the fleet's secret in a header. A message that
//! cannot be delivered is dropped and counted; the core sends again
//! what it still needs.

mod client;
mod counts;
mod idle;
mod options;
mod server;
mod wire;

pub use client::{FetchError, Peers};
pub use counts::{CountsSnapshot, PeerCounts};
pub use options::PeerOptions;
pub use server::{PeerHandler, PeerServer};
pub use wire::{CachedResponse, Delivery, WireError};
