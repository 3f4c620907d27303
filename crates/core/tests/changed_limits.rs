//! Guards against VMs that admit calls by the old limit for longer than a grant is valid after
//! the limit was lowered, and against a raised limit that does not take effect.

use std::collections::BTreeMap;

use knapweeddale_core::tables::{Bucket, NCALLS_PER_CALL};
use knapweeddale_core::{AccountConfig, AccountName, FleetConfig, Revision};
use knapweeddale_testing::mesh::TraceEvent;
use knapweeddale_testing::scenario::{self, Scenario, VMS};
use knapweeddale_testing::seeds;

/// Makes the fleet of the scenario with the limits of all accounts multiplied and divided.
fn scaled_fleet(revision: u64, multiply: u64, divide: u64) -> FleetConfig {
    let mut fleet = scenario::fleet();
    fleet.revision = Revision(revision);
    for account in &mut fleet.accounts {
        account.rate_mcalls_per_s = account.rate_mcalls_per_s * multiply / divide;
        account.burst_calls = account.burst_calls * multiply / divide;
    }
    fleet
}

/// Publishes a configuration on all VMs.
fn publish(scenario: &mut Scenario, fleet: &FleetConfig) {
    for vm in 0..VMS {
        scenario.mesh.publish(vm, fleet.clone());
    }
}

/// Counts the calls admitted since `from_us` by account and asserts that none exceeds its limits.
fn count_admitted(
    scenario: &Scenario,
    fleet: &FleetConfig,
    from_us: u64,
) -> BTreeMap<AccountName, u64> {
    let mut counts = BTreeMap::new();
    let mut buckets: BTreeMap<_, _> = fleet
        .accounts
        .iter()
        .map(|account| {
            let burst_ncalls = account.burst_calls * NCALLS_PER_CALL;
            let bucket = Bucket::full(account.rate_mcalls_per_s, burst_ncalls, from_us);
            (account.name.clone(), bucket)
        })
        .collect();
    for (at_us, event) in &scenario.mesh.trace.events {
        let TraceEvent::Admitted { account, .. } = event else {
            continue;
        };
        if *at_us < from_us {
            continue;
        }
        *counts.entry(account.clone()).or_default() += 1;
        let Some(bucket) = buckets.get_mut(account) else {
            continue;
        };
        assert!(
            bucket.try_take(*at_us),
            "{account} over its rate at {at_us} us"
        );
    }
    counts
}

#[test]
fn lower_limit() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let fleet = scaled_fleet(2, 1, 2);
        publish(&mut scenario, &fleet);
        let settings = scenario.mesh.control(0).expect("VM runs").settings();
        let grant_us = settings.grant_ms * 1_000;
        let from_us = scenario.mesh.now_us() + grant_us;
        scenario.drive_ms(15_000);
        count_admitted(&scenario, &fleet, from_us);
    }
}

#[test]
fn lower_limit_during_partition() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let owner = scenario.owner("aller");
        let others: Vec<_> = (0..VMS).filter(|vm| *vm != owner).collect();
        // No holder receives the smaller shares or the new configuration.
        scenario.mesh.partition(&[owner], &others);
        let fleet = scaled_fleet(2, 1, 2);
        scenario.mesh.publish(owner, fleet.clone());
        let settings = scenario.mesh.control(0).expect("VM runs").settings();
        let grant_us = settings.grant_ms * 1_000;
        let from_us = scenario.mesh.now_us() + grant_us;
        scenario.drive_ms(3_000);
        scenario.mesh.heal();
        publish(&mut scenario, &fleet);
        scenario.drive_ms(10_000);
        // The owners of the other accounts did not receive the lower limits before.
        let aller = |account: &AccountConfig| account.name.as_str() == "aller";
        let mut fleet = fleet;
        fleet.accounts.retain(aller);
        count_admitted(&scenario, &fleet, from_us);
    }
}

#[test]
fn higher_limit() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        scenario.drive_ms(5_000);
        let fleet = scaled_fleet(2, 2, 1);
        publish(&mut scenario, &fleet);
        scenario.drive_ms(1_000);
        let from_us = scenario.mesh.now_us();
        scenario.drive_ms(20_000);
        let counts = count_admitted(&scenario, &fleet, from_us);
        // 50 calls a second are offered and 20 allowed, 400 in 20 s; 395 allows for random
        // arrivals at both ends.
        let count = counts[&AccountName::from("cueca")];
        assert!(count >= 395, "seed {seed}: {count} admitted");
    }
}
