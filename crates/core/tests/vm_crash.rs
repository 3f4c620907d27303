//! Guards against limits that are exceeded, and calls that are refused for longer than needed,
//! after a VM that owns or holds shares has crashed.

use knapweeddale_testing::scenario::{Scenario, Totals, VMS};
use knapweeddale_testing::seeds;

#[test]
fn any_vm_dies() {
    let mut totals = Totals::default();
    // Each VM dies equally often, since some hold most of an account's rate and the fill of their
    // buckets at that moment is random.
    let last = (*seeds().end())
        .max(3 * VMS as u64)
        .next_multiple_of(VMS as u64);
    for seed in 1..=last {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(10_000);
        scenario.mesh.crash(seed as usize % VMS);
        scenario.drive_ms(50_000);
        totals.add(seed, &scenario.finish());
    }
    totals.print("one VM lost");
    assert!(
        totals.wrongful_ratio() < 0.001,
        "{}",
        totals.wrongful_ratio()
    );
}

#[test]
fn owners_die_in_turn() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        for account in ["aller", "bodega", "aller"] {
            let owner = scenario.owner(account);
            scenario.mesh.crash(owner);
            // The next owner dies while it still waits for unknown shares to end.
            scenario.drive_ms(4_000);
        }
        scenario.drive_ms(10_000);
        scenario.check();
    }
}

#[test]
fn vm_restarts() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let vm = seed as usize % VMS;
        for pause_ms in [300, 3_000] {
            scenario.mesh.crash(vm);
            scenario.drive_ms(pause_ms);
            scenario.mesh.restart(vm);
            scenario.drive_ms(15_000);
        }
        scenario.check();
    }
}
