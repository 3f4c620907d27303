//! Guards against views that lack joined VMs, keep dead ones or give an account two owners.

use knapweeddale_core::FleetConfig;
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::{assert_members, invariants, run_checked, sample_accounts, seeds};

fn mesh(vms: usize, seed: u64) -> Mesh {
    Mesh::with_domains(vms, 3, FleetConfig::default(), seed)
}

/// Returns all VMs except some.
fn all_but(vms: usize, out: &[usize]) -> Vec<usize> {
    (0..vms).filter(|vm| !out.contains(vm)).collect()
}

/// Checks that each sampled account has an owner.
fn assert_owned(mesh: &Mesh, seed: u64) {
    for account in sample_accounts() {
        let owners = invariants::owners(mesh, |view| view.account_owner(&account));
        assert_eq!(owners.len(), 1, "seed {seed}: owners of {account}");
    }
}

#[test]
fn all_join() {
    for seed in seeds() {
        let mut mesh = mesh(8, seed);
        run_checked(&mut mesh, 5_000, seed);
        assert_members(&mesh, &all_but(8, &[]), seed);
        assert_owned(&mesh, seed);
    }
}

#[test]
fn writers_in_different_domains() {
    for seed in seeds() {
        let mut mesh = mesh(8, seed);
        mesh.run_ms(3_000);
        let first = mesh.writers(0);
        mesh.crash(first[0]);
        mesh.run_ms(6_000);
        let alive = first[1];
        for writers in [first, mesh.writers(alive)] {
            assert_ne!(writers[0] % 3, writers[1] % 3, "seed {seed}: {writers:?}");
        }
    }
}

#[test]
fn dead_vm_is_removed() {
    for seed in seeds() {
        for dead in 0..8 {
            let mut mesh = mesh(8, seed);
            run_checked(&mut mesh, 5_000, seed);
            mesh.crash(dead);
            // Suspicion, one round of reports and the write, then the takeover wait.
            run_checked(&mut mesh, 3_500, seed);
            assert_members(&mesh, &all_but(8, &[dead]), seed);
            run_checked(&mut mesh, 3_500, seed);
            assert_owned(&mesh, seed);
        }
    }
}

#[test]
fn both_writers_die() {
    for seed in seeds() {
        let mut mesh = mesh(8, seed);
        run_checked(&mut mesh, 5_000, seed);
        let writers = mesh.writers(0);
        for &vm in &writers {
            mesh.crash(vm);
        }
        // The platform's list of VMs lags by 10 s; leases end before that.
        run_checked(&mut mesh, 8_000, seed);
        for vm in all_but(8, &writers) {
            assert!(!mesh.has_lease(vm), "seed {seed}: lease without a writer");
        }
        run_checked(&mut mesh, 15_000, seed);
        assert_members(&mesh, &all_but(8, &writers), seed);
        assert_owned(&mesh, seed);
    }
}

#[test]
fn restarted_vm_is_new_member() {
    for seed in seeds() {
        let mut mesh = mesh(8, seed);
        run_checked(&mut mesh, 5_000, seed);
        for vm in 0..8 {
            mesh.crash(vm);
            mesh.run_ms(300);
            let epoch = mesh.tables((vm + 1) % 8).view.epoch;
            mesh.restart(vm);
            run_checked(&mut mesh, 8_000, seed);
            assert_members(&mesh, &all_but(8, &[]), seed);
            let name = mesh.tables(vm).view.members[vm].vm.clone();
            let member = mesh.tables(vm).view.member(&name).expect("is a member");
            assert!(
                member.joined > epoch,
                "seed {seed}: VM {vm} kept its membership"
            );
        }
        assert_owned(&mesh, seed);
    }
}

#[test]
fn whole_fleet_restarts() {
    for seed in seeds() {
        let mut mesh = mesh(8, seed);
        run_checked(&mut mesh, 5_000, seed);
        (0..8).for_each(|vm| mesh.crash(vm));
        mesh.run_ms(1_000);
        (0..8).for_each(|vm| mesh.restart(vm));
        run_checked(&mut mesh, 60_000, seed);
        assert_members(&mesh, &all_but(8, &[]), seed);
        assert_owned(&mesh, seed);
    }
}

#[test]
fn messages_lost_doubled_reordered() {
    for seed in seeds() {
        let mut mesh = mesh(8, seed);
        mesh.faults.lost_per_mille = 50;
        mesh.faults.duplicated_per_mille = 50;
        mesh.faults.max_delay_us = 50_000;
        mesh.store.lost_responses_per_mille = 50;
        run_checked(&mut mesh, 10_000, seed);
        assert_members(&mesh, &all_but(8, &[]), seed);
        mesh.crash(2);
        run_checked(&mut mesh, 30_000, seed);
        assert_members(&mesh, &all_but(8, &[2]), seed);
        mesh.restart(2);
        run_checked(&mut mesh, 30_000, seed);
        assert_members(&mesh, &all_but(8, &[]), seed);
    }
}

#[test]
fn large_fleet_keeps_leases() {
    for seed in seeds() {
        let mut mesh = mesh(40, seed);
        run_checked(&mut mesh, 10_000, seed);
        assert_members(&mesh, &all_but(40, &[]), seed);
        let writers = mesh.writers(0);
        let dead: Vec<usize> = (0..40).filter(|vm| vm % 3 == 1).collect();
        dead.iter().for_each(|&vm| mesh.crash(vm));
        run_checked(&mut mesh, 30_000, seed);
        assert!(writers.iter().any(|vm| !dead.contains(vm)));
        assert_members(&mesh, &all_but(40, &dead), seed);
        for _ in 0..50 {
            mesh.run_ms(100);
            for vm in all_but(40, &dead) {
                assert!(mesh.has_lease(vm), "seed {seed}: VM {vm} without lease");
            }
        }
    }
}

#[test]
fn list_older_than_restart() {
    for seed in seeds() {
        let mut mesh = mesh(40, seed);
        run_checked(&mut mesh, 10_000, seed);
        let writers = mesh.tables(0).view.writers.clone();
        let is_watched_by_writer = |vm: &usize| {
            let peers = &mesh.tables(*vm).membership.peers;
            let mut watchers = peers.parents.iter().chain(&peers.watchers);
            watchers.any(|by| writers.contains(by))
        };
        let vm = (0..39)
            .find(|vm| !is_watched_by_writer(vm))
            .expect("a member");
        let epoch = mesh.tables(39).view.epoch.0;
        mesh.crash(vm);
        run_checked(&mut mesh, 9_000, seed);
        mesh.restart(vm);
        // The list without the VM arrives while it is a member again.
        run_checked(&mut mesh, 15_000, seed);
        assert_members(&mesh, &all_but(40, &[]), seed);
        let views = mesh.tables(39).view.epoch.0 - epoch;
        assert_eq!(views, 2, "seed {seed}: one removal and one join");
    }
}
