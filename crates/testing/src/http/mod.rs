//! Fake upstreams over HTTP on loopback.
//!
//! Each listens on a port that the operating system assigns and stops when dropped. Tests
//! control them with injected faults and gates, never with timing.

mod connection;
mod engine;
mod plain;
mod server;

pub use connection::{Connection, Request};
pub use engine::{EngineFault, EngineOptions, FakeEngine};
pub use plain::FakePlain;
pub use server::{FakeServer, Handler};
