//! Test support for knapweeddale: a seeded exchange of messages between VMs in
//! virtual time, invariants over its traces, and fakes of outside systems.

pub mod invariants;
pub mod load;
pub mod measures;
pub mod mesh;
mod random;
pub mod scenario;

pub use random::Random;
