//! Guards against origins of streams that are not found again on the VMs that hold copies.

use std::sync::Arc;

use knapweeddale_core::origins::{ASKED_VMS, ORIGIN_COPIES, choose_holders};
use knapweeddale_testing::{Random, seeds};
use rstest::rstest;

fn addresses(count: u64) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| Arc::from(format!("10.0.0.{number}:7780")))
        .collect()
}

/// Guards against a lookup that asks other VMs than hold the origin, after one of them was removed
/// and another one was added.
#[rstest]
fn changed_vms() {
    for seed in seeds() {
        let mut random = Random::new(seed);
        let mut vms = addresses(3 + random.below(30));
        let id = format!("request-{seed}");
        let holders = choose_holders(&id, &vms, ORIGIN_COPIES);
        vms.reverse();
        assert_eq!(choose_holders(&id, &vms, ORIGIN_COPIES), holders);
        let removed = random.below(vms.len() as u64) as usize;
        vms.remove(removed);
        vms.push(Arc::from("10.0.1.1:7780"));
        let asked = choose_holders(&id, &vms, ASKED_VMS);
        assert!(
            asked.iter().any(|vm| holders.contains(vm)),
            "seed {seed}: {asked:?} are asked, {holders:?} hold the origin"
        );
    }
}

/// Guards against origins that all go to the same VMs.
#[rstest]
fn even_load() {
    let vms = addresses(4);
    let holds_first = |number: &u64| {
        let holders = choose_holders(&format!("{number:x}"), &vms, ORIGIN_COPIES);
        holders.contains(&vms[0])
    };
    let held = (0..1_000).filter(holds_first).count();
    assert!((400..600).contains(&held), "{held} of 1000, 500 expected");
}
