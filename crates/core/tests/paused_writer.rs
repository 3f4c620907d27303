//! Guards against a writer that wakes from a pause and writes or confirms an old view.

use knapweeddale_core::FleetConfig;
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::{Random, run_sampled, seeds};

fn mesh(seed: u64) -> Mesh {
    let mut mesh = Mesh::with_domains(8, 3, FleetConfig::default(), seed);
    run_sampled(&mut mesh, 6_000, seed);
    mesh
}

fn assert_whole(mesh: &Mesh, seed: u64) {
    for vm in 0..8 {
        assert!(mesh.has_lease(vm), "seed {seed}: VM {vm} without lease");
        let members = mesh.tables(vm).view.members.len();
        assert_eq!(members, 8, "seed {seed}: view of VM {vm}");
    }
}

#[test]
fn second_writer_takes_over() {
    for seed in seeds() {
        let mut mesh = mesh(seed);
        let first = mesh.writers(0)[0];
        mesh.pause(first, 12_000_000);
        for _ in 0..100 {
            run_sampled(&mut mesh, 100, seed);
            for vm in (0..8).filter(|vm| *vm != first) {
                assert!(mesh.has_lease(vm), "seed {seed}: VM {vm} without lease");
            }
        }
        run_sampled(&mut mesh, 12_000, seed);
        assert_whole(&mesh, seed);
    }
}

#[test]
fn paused_while_writing() {
    for seed in seeds() {
        let mut random = Random::new(seed);
        for _ in 0..4 {
            let mut mesh = mesh(seed);
            let writers = mesh.writers(0);
            let dead = (0..8).find(|vm| !writers.contains(vm)).expect("a member");
            mesh.crash(dead);
            // The first writer writes the view without the dead VM about now.
            mesh.run_ms(random.between(2_000, 2_600));
            mesh.pause(writers[0], random.between(1_000_000, 9_000_000));
            run_sampled(&mut mesh, 12_000, seed);
            mesh.restart(dead);
            run_sampled(&mut mesh, 12_000, seed);
            assert_whole(&mesh, seed);
        }
    }
}

#[test]
fn paused_after_promise() {
    for seed in seeds() {
        let mut random = Random::new(seed);
        for _ in 0..4 {
            let mut mesh = mesh(seed);
            let writers = mesh.writers(0);
            let dead = (0..8).find(|vm| !writers.contains(vm)).expect("a member");
            mesh.store.is_down = true;
            run_sampled(&mut mesh, 8_000, seed);
            // One writer promises and pauses; the other one meets the store again.
            mesh.pause(writers[random.below(2) as usize], 15_000_000);
            mesh.crash(dead);
            mesh.run_ms(random.between(0, 3_000));
            mesh.store.is_down = false;
            run_sampled(&mut mesh, 30_000, seed);
            mesh.restart(dead);
            run_sampled(&mut mesh, 12_000, seed);
            assert_whole(&mesh, seed);
        }
    }
}
