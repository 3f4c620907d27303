//! Guards against views that miss joined VMs or keep dead ones.

use knapweeddale_core::FleetConfig;
use knapweeddale_testing::mesh::Mesh;

/// Returns the number of members in the view of a VM that has a valid lease.
fn members(mesh: &Mesh, vm: usize) -> Option<usize> {
    let tables = mesh.control(vm)?.tables();
    let has_lease = tables.lease.is_valid(mesh.local_us(vm));
    has_lease.then_some(tables.view.members.len())
}

#[test]
fn all_join() {
    let mut mesh = Mesh::new(8, FleetConfig::default(), 1);
    mesh.run_ms(1_000);
    for vm in 0..8 {
        assert_eq!(members(&mesh, vm), Some(8), "view of VM {vm}");
    }
}

#[test]
fn dead_vm_is_removed() {
    let mut mesh = Mesh::new(8, FleetConfig::default(), 1);
    mesh.run_ms(5_000);
    mesh.crash(3);
    mesh.run_ms(4_000);
    for vm in (0..8).filter(|vm| *vm != 3) {
        assert_eq!(members(&mesh, vm), Some(7), "view of VM {vm}");
    }
}
