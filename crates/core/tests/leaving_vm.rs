//! Guards against accounts without an owner while VMs drain and leave the fleet.

use knapweeddale_core::{FleetConfig, Input};
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::{invariants, run_checked, sample_accounts, seeds};

/// Counts the sampled accounts without an owner.
fn count_unowned(mesh: &Mesh) -> usize {
    sample_accounts()
        .iter()
        .filter(|account| invariants::owners(mesh, |view| view.account_owner(account)).is_empty())
        .count()
}

fn has_left(mesh: &Mesh, vm: usize) -> bool {
    mesh.control(vm).expect("VM runs").has_left()
}

#[test]
fn next_owner_acts_at_once() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(8, 3, FleetConfig::default(), seed);
        run_checked(&mut mesh, 8_000, seed);
        // Writers leave as well.
        for vm in 0..8 {
            mesh.input(vm, Input::Drain);
            run_checked(&mut mesh, 500, seed);
            assert!(has_left(&mesh, vm), "seed {seed}: VM {vm} has not left");
            assert!(
                !mesh.has_lease(vm),
                "seed {seed}: VM {vm} still has its lease"
            );
            assert_eq!(
                count_unowned(&mesh),
                0,
                "seed {seed}: accounts without owner after VM {vm} left"
            );
            let control = mesh.control(vm).expect("VM runs");
            assert!(!control.is_ready(mesh.local_us(vm)));
            mesh.crash(vm);
            mesh.restart(vm);
            run_checked(&mut mesh, 8_000, seed);
            assert_eq!(
                count_unowned(&mesh),
                0,
                "seed {seed}: accounts without owner after restart of VM {vm}"
            );
        }
    }
}

#[test]
fn draining_vm_is_not_isolated() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(8, 3, FleetConfig::default(), seed);
        run_checked(&mut mesh, 5_000, seed);
        mesh.input(2, Input::Drain);
        // The draining VM still serves calls that arrive, so it must not count as isolated.
        run_checked(&mut mesh, 20_000, seed);
        let control = mesh.control(2).expect("VM runs");
        let isolated = control
            .tables()
            .is_isolated(control.settings(), mesh.local_us(2));
        assert!(!isolated, "seed {seed}");
    }
}

#[test]
fn lost_notice_only_delays_takeover() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(8, 3, FleetConfig::default(), seed);
        run_checked(&mut mesh, 8_000, seed);
        mesh.faults.lost_per_mille = 200;
        mesh.input(1, Input::Drain);
        run_checked(&mut mesh, 8_000, seed);
        assert!(has_left(&mesh, 1), "seed {seed}");
        assert_eq!(count_unowned(&mesh), 0, "seed {seed}");
    }
}

#[test]
fn all_leave() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(4, 2, FleetConfig::default(), seed);
        run_checked(&mut mesh, 5_000, seed);
        (0..4).for_each(|vm| mesh.input(vm, Input::Drain));
        run_checked(&mut mesh, 10_000, seed);
        assert!((0..4).all(|vm| has_left(&mesh, vm)), "seed {seed}");
        (0..4).for_each(|vm| mesh.crash(vm));
        mesh.run_ms(1_000);
        (0..4).for_each(|vm| mesh.restart(vm));
        run_checked(&mut mesh, 60_000, seed);
        assert!((0..4).all(|vm| mesh.has_lease(vm)), "seed {seed}");
    }
}
