//! Guards against a VM that is cut off from the owner of its share and goes on admitting calls
//! after the grant has ended.

use knapweeddale_core::RefusalKind;
use knapweeddale_testing::mesh::TraceEvent;
use knapweeddale_testing::scenario::{Scenario, VMS};
use knapweeddale_testing::seeds;

#[test]
fn admits_nothing_after_grant() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let owner = scenario.owner("aller");
        let vm = (owner + 1) % VMS;
        let others: Vec<_> = (0..VMS).filter(|other| *other != vm).collect();
        scenario.mesh.partition(&[vm], &others);
        let cut_us = scenario.mesh.now_us();
        scenario.drive_ms(10_000);
        scenario.check();
        let name = scenario
            .mesh
            .control(vm)
            .expect("VM runs")
            .settings()
            .vm
            .clone();
        let grant_us = scenario
            .mesh
            .control(vm)
            .expect("VM runs")
            .settings()
            .grant_ms
            * 1_000;
        let late = scenario.mesh.trace.events.iter().find(|(at_us, event)| {
            matches!(event, TraceEvent::Admitted { vm, account, .. }
                if *vm == name && account.as_str() == "aller" && *at_us > cut_us + grant_us)
        });
        assert!(
            late.is_none(),
            "seed {seed}: admitted after the grant: {late:?}"
        );
        scenario.mesh.heal();
        scenario.drive_ms(10_000);
        scenario.check();
    }
}

#[test]
fn refusals_carry_retry_after() {
    let mut scenario = Scenario::new(1);
    scenario.drive_ms(10_000);
    let refusals = scenario
        .mesh
        .trace
        .events
        .iter()
        .filter_map(|(_, event)| match event {
            TraceEvent::Refused(refusal) => Some(refusal),
            _ => None,
        });
    let refusals: Vec<_> = refusals.collect();
    assert!(!refusals.is_empty(), "no call over the rate was refused");
    for refusal in refusals {
        assert_eq!(refusal.kind, RefusalKind::OverRate);
        assert!(refusal.retry_after_ms.is_some_and(|ms| ms > 0));
    }
}
