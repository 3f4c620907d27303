//! The control thread of a daemon, without the front end and the clients around it.
//!
//! One thread owns the core's [`Control`](knapweeddale_core::Control) value. Traffic threads
//! reach it over a bounded [queue](input_queue), and an implementation of [`OutputHandler`]
//! dispatches its outputs. The crate also has helpers for IDs, clocks, signals, probes, metrics
//! and memory limits.

mod clock;
mod control_loop;
mod ids;
mod memory;
mod memory_queue;
mod metrics;
mod probe;
mod queue;
mod signals;

pub use clock::{BootClock, Clock, MonotonicClock};
pub use control_loop::{OutputHandler, spawn_control_loop};
pub use ids::{CallIds, new_incarnation, random_u64};
pub use memory::{MemoryExhausted, MemoryLimiter, MemoryPermit, UNCOUNTED_BYTES};
pub use memory_queue::{MemoryQueue, MemoryReservation, PendingReservation};
pub use metrics::{gauge_value, register};
pub use probe::{ProbeRequest, request_probe};
pub use queue::{Envelope, InputQueue, InputSender, QueueFull, input_queue};
pub use signals::{SignalRequest, Signals};
