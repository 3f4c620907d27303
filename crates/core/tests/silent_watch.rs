//! Guards against a configuration that reaches VMs late because watches of the store are silent,
//! and against a configuration that an older one replaces.

use knapweeddale_core::{FleetConfig, Input, Revision};
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::{invariants, seeds};

fn fleet(revision: u64) -> FleetConfig {
    FleetConfig {
        revision: Revision(revision),
        ..FleetConfig::default()
    }
}

/// Runs until a revision is in force on all VMs and returns how long that took.
fn spread_ms(mesh: &mut Mesh, revision: u64) -> u64 {
    let started_us = mesh.now_us();
    let in_force = |mesh: &Mesh, vm: usize| mesh.tables(vm).fleet.revision == Revision(revision);
    while !(0..mesh.len()).all(|vm| in_force(mesh, vm)) {
        mesh.run_ms(10);
        assert!(
            mesh.now_us() < started_us + 60_000_000,
            "revision {revision} is not in force after 60 s"
        );
    }
    (mesh.now_us() - started_us) / 1_000
}

#[test]
fn all_watches_work() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(8, 3, fleet(1), seed);
        mesh.run_ms(5_000);
        (0..8).for_each(|vm| mesh.publish(vm, fleet(2)));
        let took_ms = spread_ms(&mut mesh, 2);
        assert!(took_ms < 2_000, "seed {seed}: {took_ms} ms");
    }
}

#[test]
fn one_watch_works() {
    for seed in seeds() {
        for vm in 0..8 {
            let mut mesh = Mesh::with_domains(8, 3, fleet(1), seed);
            mesh.faults.lost_per_mille = 20;
            mesh.run_ms(5_000);
            mesh.publish(vm, fleet(2));
            let took_ms = spread_ms(&mut mesh, 2);
            assert!(took_ms < 5_000, "seed {seed}: {took_ms} ms from VM {vm}");
        }
    }
}

#[test]
fn one_watch_works_in_large_fleet() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(64, 3, fleet(1), seed);
        mesh.run_ms(10_000);
        mesh.publish(seed as usize % 64, fleet(2));
        let took_ms = spread_ms(&mut mesh, 2);
        // The target for large fleets, section 1.3.
        assert!(took_ms < 13_000, "seed {seed}: {took_ms} ms");
    }
}

#[test]
fn older_revision_is_ignored() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(8, 3, fleet(1), seed);
        mesh.faults.max_delay_us = 400_000;
        mesh.run_ms(5_000);
        for revision in 2..20 {
            mesh.publish((revision % 8) as usize, fleet(revision));
            // A lagging replica of the store answers another VM's watch.
            let old = std::sync::Arc::new(fleet(revision - 1));
            mesh.input(((revision + 3) % 8) as usize, Input::Config(old));
            mesh.run_ms(250);
        }
        spread_ms(&mut mesh, 19);
        invariants::config_moves_forward(&mesh.trace).expect("revisions grow");
    }
}
