//! Guards against an owner that lends after its lease has ended while its
//! successor lends the same rate.

use knapweeddale_testing::scenario::{Scenario, VMS, seeds};

#[test]
fn paused_beyond_lease() {
    for seed in seeds(5) {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let owner = scenario.owner("aller");
        // Long enough for a successor, and for the successor to free what it withheld.
        let pause_ms = 2_500 + seed % 5 * 2_500;
        scenario.mesh.pause(owner, pause_ms * 1_000);
        scenario.drive_ms(2_300);
        let members = scenario.mesh.members();
        let name = members[owner].vm.clone();
        let others = members.into_iter().filter(|member| member.vm != name);
        scenario.mesh.store.write_members(others.collect());
        scenario.drive_ms(15_000);
        scenario.check();
    }
}

#[test]
fn paused_and_partitioned() {
    for seed in seeds(5) {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let owner = scenario.owner("bodega");
        // The owner and half of the VMs learn of the next view late.
        let late: Vec<_> = (0..VMS).filter(|vm| *vm == owner || vm % 2 == 0).collect();
        let rest: Vec<_> = (0..VMS).filter(|vm| !late.contains(vm)).collect();
        scenario.mesh.partition(&late, &rest);
        scenario.mesh.store.cut_off.extend(&late);
        scenario.drive_ms(1_500 + seed % 4 * 500);
        let members = scenario.mesh.members();
        let name = members[owner].vm.clone();
        let others = members.into_iter().filter(|member| member.vm != name);
        scenario.mesh.store.write_members(others.collect());
        scenario.drive_ms(1_000 + seed % 8 * 1_000);
        scenario.mesh.heal();
        scenario.mesh.store.cut_off.clear();
        scenario.drive_ms(10_000);
        scenario.check();
    }
}

#[test]
fn handed_over() {
    for seed in seeds(5) {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let members = scenario.mesh.members();
        let gone = seed as usize % VMS;
        let without = members.iter().enumerate().filter(|(vm, _)| *vm != gone);
        let without: Vec<_> = without.map(|(_, member)| member.clone()).collect();
        // Ownership moves away from a live VM and back.
        scenario.mesh.store.write_members(without);
        scenario.drive_ms(5_000);
        scenario.mesh.store.write_members(members);
        scenario.drive_ms(10_000);
        scenario.check();
    }
}
