//! Guards against refusals while the store is down for long.

use knapweeddale_testing::scenario::{Scenario, Totals, seeds};

#[test]
fn half_an_hour() {
    let mut totals = Totals::default();
    for seed in seeds(1) {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        scenario.mesh.store.is_down = true;
        scenario.drive_ms(30 * 60 * 1_000);
        scenario.mesh.store.is_down = false;
        scenario.drive_ms(5_000);
        totals.add(seed, &scenario.finish());
    }
    totals.print("store down for 30 minutes");
    assert!(totals.wrongful_part() < 0.01, "{}", totals.wrongful_part());
}
