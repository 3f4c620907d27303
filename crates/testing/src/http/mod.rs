//! Fakes of upstreams on loopback.
//!
//! They listen on a port that the system chooses and stop when dropped. Tests
//! steer them by faults and gates, never by the clock.

mod connection;
mod engine;
mod plain;
mod server;

pub use connection::{Connection, Request};
pub use engine::{EngineFault, EngineOptions, FakeEngine};
pub use plain::FakePlain;
pub use server::{FakeServer, Handler};
