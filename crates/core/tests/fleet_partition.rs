//! Guards against leases on both sides of a partition, and against a fleet that does not recover
//! after it.

use knapweeddale_core::FleetConfig;
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::{Random, assert_members, joined_mesh, run_checked, seeds};

/// Returns the VMs that are not on a side.
fn others(side: &[usize]) -> Vec<usize> {
    (0..8).filter(|vm| !side.contains(vm)).collect()
}

fn assert_recovers(mesh: &mut Mesh, seed: u64) {
    mesh.heal();
    run_checked(mesh, 25_000, seed);
    assert_members(mesh, &others(&[]), seed);
}

#[test]
fn side_without_writer_stops() {
    for seed in seeds() {
        let mut mesh = joined_mesh(FleetConfig::default(), seed);
        let mut left = mesh.writers(0);
        left.push(others(&left)[0]);
        let right = others(&left);
        mesh.partition(&left, &right);
        run_checked(&mut mesh, 4_000, seed);
        for &vm in &right {
            assert!(!mesh.has_lease(vm), "seed {seed}: VM {vm} without writer");
        }
        run_checked(&mut mesh, 20_000, seed);
        for &vm in &left {
            assert!(mesh.has_lease(vm), "seed {seed}: VM {vm} with writers");
        }
        assert_recovers(&mut mesh, seed);
    }
}

#[test]
fn one_writer_on_each_side() {
    for seed in seeds() {
        let mut mesh = joined_mesh(FleetConfig::default(), seed);
        let writers = mesh.writers(0);
        let rest = others(&writers);
        let left = [vec![writers[0]], rest[..2].to_vec()].concat();
        let right = others(&left);
        mesh.partition(&left, &right);
        run_checked(&mut mesh, 30_000, seed);
        // Only the larger side keeps its leases.
        for &vm in &left {
            assert!(
                !mesh.has_lease(vm),
                "seed {seed}: VM {vm} on the smaller side"
            );
        }
        for &vm in &right {
            assert!(
                mesh.has_lease(vm),
                "seed {seed}: VM {vm} on the larger side"
            );
        }
        assert_recovers(&mut mesh, seed);
    }
}

#[test]
fn cut_off_during_outage() {
    for seed in seeds() {
        let mut mesh = joined_mesh(FleetConfig::default(), seed);
        let writers = mesh.writers(0);
        let rest = others(&writers);
        let left = [vec![writers[0]], rest[..3].to_vec()].concat();
        mesh.store.is_down = true;
        run_checked(&mut mesh, 5_000, seed);
        mesh.partition(&left, &others(&left));
        run_checked(&mut mesh, 4_000, seed);
        // Neither side receives the promises of both writers.
        for vm in 0..8 {
            assert!(!mesh.has_lease(vm), "seed {seed}: VM {vm} has a lease");
        }
        mesh.store.is_down = false;
        run_checked(&mut mesh, 20_000, seed);
        assert_recovers(&mut mesh, seed);
    }
}

#[test]
fn broken_links() {
    for seed in seeds() {
        let mut random = Random::new(seed);
        let mut mesh = joined_mesh(FleetConfig::default(), seed);
        for _ in 0..8 {
            let (a, b) = (random.below(8) as usize, random.below(8) as usize);
            mesh.partition(&[a], &[b]);
        }
        run_checked(&mut mesh, 20_000, seed);
        assert_recovers(&mut mesh, seed);
    }
}
