//! Guards against shares that add up to more than the account's rate or burst,
//! and against refusals while another VM has calls to spare.

use knapweeddale_testing::mesh::Faults;
use knapweeddale_testing::scenario::{Scenario, Totals, seeds};

#[test]
fn no_faults() {
    let mut totals = Totals::default();
    let mut messages = 0;
    for seed in seeds(3) {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(30_000);
        messages += scenario.mesh.messages;
        totals.add(seed, &scenario.finish());
    }
    totals.print("no faults");
    println!("no faults, messages: {messages}");
    assert_eq!(totals.wrongful_part(), 0.0);
    assert!(totals.worst_share >= 0.99);
}

#[test]
fn bad_links() {
    let mut totals = Totals::default();
    for seed in seeds(3) {
        let mut scenario = Scenario::new(seed);
        scenario.mesh.faults = Faults {
            min_delay_us: 500,
            max_delay_us: 60_000,
            lost_per_mille: 50,
            doubled_per_mille: 100,
        };
        scenario.drive_ms(20_000);
        totals.add(seed, &scenario.finish());
    }
    totals.print("bad links");
}
