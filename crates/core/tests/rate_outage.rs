//! Guards against wrongful refusals while the store is down for a long time.

use knapweeddale_testing::scenario::{self, Scenario, Totals};
use knapweeddale_testing::seeds;

#[test]
fn store_down_for_30_minutes() {
    let mut totals = Totals::default();
    // Each seed sends 150,000 calls.
    for seed in seeds().take(20).step_by(3) {
        let mut scenario = Scenario::new(seed);
        scenario.loads = scenario::loads(50);
        scenario.drive_ms(5_000);
        scenario.mesh.store.is_down = true;
        scenario.drive_ms(30 * 60 * 1_000);
        scenario.mesh.store.is_down = false;
        scenario.drive_ms(5_000);
        totals.add(seed, &scenario.finish());
    }
    totals.print("store down for 30 minutes");
    assert!(
        totals.wrongful_ratio() < 0.01,
        "{}",
        totals.wrongful_ratio()
    );
}
