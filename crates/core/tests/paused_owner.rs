//! Guards against an owner that grants shares after its lease has ended, while its successor
//! grants the same rate.

use knapweeddale_core::Input;
use knapweeddale_testing::scenario::{Scenario, VMS};
use knapweeddale_testing::seeds;

#[test]
fn paused_beyond_lease() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let owner = scenario.owner("aller");
        // The pauses end at times from just before a successor takes over to after the successor
        // has released the rate that it withheld.
        let pause_ms = 2_000 + seed % 12 * 1_000;
        scenario.mesh.pause(owner, pause_ms * 1_000);
        scenario.drive_ms(25_000);
        scenario.check();
    }
}

#[test]
fn cut_off_with_holders() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let owner = scenario.owner("bodega");
        let (left, right): (Vec<_>, Vec<_>) = (0..VMS).partition(|vm| vm % 2 == owner % 2);
        scenario.mesh.partition(&left, &right);
        scenario.mesh.store.isolated.extend(&left);
        scenario.drive_ms(2_000 + seed % 10 * 1_000);
        scenario.mesh.heal();
        scenario.mesh.store.isolated.clear();
        scenario.drive_ms(20_000);
        scenario.check();
    }
}

#[test]
fn paused_behind_bad_links() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.mesh.faults.lost_per_mille = 50;
        scenario.mesh.faults.duplicated_per_mille = 100;
        scenario.mesh.faults.max_delay_us = 200_000;
        for account in ["aller", "cueca", "bodega"] {
            let owner = scenario.owner(account);
            scenario.mesh.pause(owner, (2_000 + seed % 8 * 700) * 1_000);
            scenario.drive_ms(9_000);
        }
        scenario.check();
    }
}

#[test]
fn owner_leaves() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let owner = scenario.owner("aller");
        scenario.mesh.input(owner, Input::Drain);
        scenario.drive_ms(15_000);
        scenario.check();
    }
}
