//! Test support for knapweeddale: a seeded simulation of VMs in virtual time,
//! invariants over its traces, and fakes of external systems.

pub mod callers;
pub mod fleet;
pub mod http;
pub mod invariants;
pub mod load;
pub mod measures;
pub mod mesh;
pub mod platform;
pub mod process;
mod random;
pub mod relays;
pub mod scenario;
mod seeds;

pub use random::Random;
pub use seeds::{
    assert_members, joined_mesh, many_seeds, run_checked, sample_accounts, seeds, seeds_from,
};
