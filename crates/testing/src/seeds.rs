//! Seeds of fault tests.

use crate::invariants;
use crate::mesh::Mesh;
use knapweeddale_core::AccountName;

/// Seeds that fault tests run with unless `KNAPWEEDDALE_SEEDS` says otherwise.
const DEFAULT_SEEDS: u64 = 3;

/// Returns the seeds that a fault test runs with.
///
/// The environment variable `KNAPWEEDDALE_SEEDS` sets their number.
pub fn seeds() -> std::ops::RangeInclusive<u64> {
    let count = std::env::var("KNAPWEEDDALE_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    1..=count
}

/// Returns names of accounts, enough for each VM of a small fleet to own some.
pub fn sample_accounts() -> Vec<AccountName> {
    (0..16)
        .map(|number| AccountName::from(format!("account-{number}")))
        .collect()
}

/// Largest fleet that is sampled often and for all accounts.
const SMALL_FLEET: usize = 9;

/// Runs a mesh and checks every 50 ms that no account has two owners.
///
/// In a large fleet, which costs more to sample, a few accounts are checked
/// every 100 ms.
///
/// # Panics
///
/// Panics with the seed if an account has two owners.
pub fn run_sampled(mesh: &mut Mesh, ms: u64, seed: u64) {
    let mut accounts = sample_accounts();
    let mut step_ms = 50;
    if mesh.len() > SMALL_FLEET {
        accounts.truncate(8);
        step_ms = 100;
    }
    for _ in 0..ms.div_ceil(step_ms) {
        mesh.run_ms(step_ms);
        if let Err(violation) = invariants::single_owner(mesh, &accounts) {
            panic!("seed {seed}: {violation}");
        }
    }
}
