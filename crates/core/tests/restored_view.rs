//! Guards against VMs that go back to an older view when the store is restored to an earlier state
//! or emptied.

use knapweeddale_core::FleetConfig;
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::{run_checked, seeds};
use rstest::rstest;

#[rstest]
#[case::older(false)]
#[case::empty(true)]
fn newer_view_stays(#[case] is_empty: bool) {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(8, 3, FleetConfig::default(), seed);
        mesh.run_ms(5_000);
        let old = mesh.store.stored.clone();
        mesh.crash(6);
        run_checked(&mut mesh, 5_000, seed);
        mesh.restart(6);
        run_checked(&mut mesh, 5_000, seed);
        let epoch = mesh.tables(0).view.epoch;
        mesh.store.stored = if is_empty { None } else { old };
        // A VM that starts right afterwards reads the older view first.
        mesh.crash(3);
        mesh.restart(3);
        for _ in 0..100 {
            run_checked(&mut mesh, 100, seed);
            for vm in (0..8).filter(|vm| *vm != 3) {
                assert!(mesh.tables(vm).view.epoch >= epoch, "seed {seed}: VM {vm}");
                assert!(mesh.has_lease(vm), "seed {seed}: VM {vm} without lease");
            }
        }
        run_checked(&mut mesh, 10_000, seed);
        let stored = mesh.store.stored.clone().expect("view is stored");
        assert_eq!(stored.view, mesh.tables(3).view, "seed {seed}");
        assert_eq!(stored.view.members.len(), 8, "seed {seed}");
    }
}
