//! Seeds, setup and checks shared by fault tests.

use std::ops::RangeInclusive;

use crate::invariants;
use crate::mesh::Mesh;
use knapweeddale_core::{AccountName, FleetConfig};

/// Number of seeds that fault tests run with if `KNAPWEEDDALE_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 3;

/// Returns the seeds that a fault test runs with.
///
/// The environment variable `KNAPWEEDDALE_SEEDS` sets their number, and
/// `KNAPWEEDDALE_FIRST_SEED` the first one.
pub fn seeds() -> RangeInclusive<u64> {
    seeds_from(1)
}

/// Like [`seeds`], but starts at `first` if `KNAPWEEDDALE_FIRST_SEED` is not set.
pub fn seeds_from(first: u64) -> RangeInclusive<u64> {
    seed_range(first, DEFAULT_SEEDS)
}

/// Like [`seeds`], but returns `count` seeds if `KNAPWEEDDALE_SEEDS` is not set.
pub fn many_seeds(count: u64) -> RangeInclusive<u64> {
    seed_range(1, count)
}

/// Returns the seeds that the environment sets, or `count` seeds from `first`.
fn seed_range(first: u64, count: u64) -> RangeInclusive<u64> {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let first = number("KNAPWEEDDALE_FIRST_SEED").unwrap_or(first);
    let count = number("KNAPWEEDDALE_SEEDS").unwrap_or(count);
    first..=first + count.max(1) - 1
}

/// Returns account names, enough for each VM of a small fleet to own some.
pub fn sample_accounts() -> Vec<AccountName> {
    (0..16)
        .map(|number| AccountName::from(format!("account-{number}")))
        .collect()
}

/// Largest number of VMs for which [`run_checked`] checks all accounts every 50 ms.
const SMALL_FLEET: usize = 9;

/// Runs a mesh and checks every 50 ms that no account has two owners.
///
/// In a larger fleet, where a check costs more, it checks 8 accounts every 100 ms.
///
/// # Panics
///
/// Panics with the seed if an account has two owners.
pub fn run_checked(mesh: &mut Mesh, ms: u64, seed: u64) {
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

/// Returns a mesh of 8 VMs in 3 failure domains after all VMs have joined.
///
/// # Panics
///
/// Panics with the seed if an account has two owners during the joins.
pub fn joined_mesh(fleet: FleetConfig, seed: u64) -> Mesh {
    let mut mesh = Mesh::with_domains(8, 3, fleet, seed);
    run_checked(&mut mesh, 6_000, seed);
    mesh
}

/// Checks that each VM in `running` has a lease and a view with exactly these members.
///
/// # Panics
///
/// Panics with the seed and the first VM whose view or lease is wrong.
pub fn assert_members(mesh: &Mesh, running: &[usize], seed: u64) {
    for &vm in running {
        let members = &mesh.tables(vm).view.members;
        let mut numbers: Vec<_> = members.iter().filter_map(|m| mesh.index(&m.vm)).collect();
        numbers.sort_unstable();
        assert_eq!(numbers, running, "seed {seed}: view of VM {vm}");
        assert!(mesh.has_lease(vm), "seed {seed}: lease of VM {vm}");
    }
}
