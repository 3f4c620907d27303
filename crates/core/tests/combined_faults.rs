//! Guards against combinations of faults that give an account two owners.

use knapweeddale_core::{FleetConfig, Input};
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::{Random, assert_members, run_checked, seeds};

/// Injects a random fault; several may be active at a time.
fn inject(mesh: &mut Mesh, random: &mut Random) {
    let vm = random.below(8) as usize;
    match random.below(9) {
        0 => mesh.crash(vm),
        1 => mesh.pause(vm, random.between(500_000, 12_000_000)),
        2 => {
            let (left, right): (Vec<_>, Vec<_>) = (0..8).partition(|_| random.below(2) == 0);
            mesh.partition(&left, &right);
        }
        3 => mesh.store.is_down = true,
        4 => {
            mesh.store.isolated.insert(vm);
        }
        5 => mesh.input(vm, Input::Drain),
        6 => mesh.store.lost_responses_per_mille = 300,
        7 => mesh.store.late_per_mille = 300,
        _ => mesh.faults.lost_per_mille = 200,
    }
}

/// Ends all faults and restarts VMs that are down or draining.
fn repair(mesh: &mut Mesh) {
    mesh.heal();
    mesh.store.is_down = false;
    mesh.store.isolated.clear();
    mesh.store.lost_responses_per_mille = 0;
    mesh.store.late_per_mille = 0;
    mesh.faults.lost_per_mille = 0;
    for vm in 0..8 {
        let runs = mesh.control(vm).is_some_and(|control| !control.has_left());
        let drains = runs && mesh.tables(vm).membership.departure.is_draining;
        if drains || !runs {
            mesh.crash(vm);
            mesh.restart(vm);
        }
    }
}

#[test]
fn at_most_one_owner() {
    for seed in seeds() {
        let mut random = Random::new(seed);
        let mut mesh = Mesh::with_domains(8, 3, FleetConfig::default(), seed);
        for vm in 0..8 {
            mesh.set_clock_rate(vm, random.between(955_000, 1_045_000));
        }
        run_checked(&mut mesh, 5_000, seed);
        for _ in 0..6 {
            for _ in 0..random.between(1, 4) {
                inject(&mut mesh, &mut random);
                run_checked(&mut mesh, random.between(50, 6_000), seed);
            }
            repair(&mut mesh);
            run_checked(&mut mesh, random.between(0, 9_000), seed);
        }
        run_checked(&mut mesh, 60_000, seed);
        assert_members(&mesh, &[0, 1, 2, 3, 4, 5, 6, 7], seed);
    }
}
