//! Guards against cold upstreams that get more calls than their service allows, from VMs that hear
//! each other or not.

use knapweeddale_core::UpstreamList;
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, listed_upstream};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Returns the most calls that a cold upstream may get in a second.
fn allowed(cold_per_s: u64) -> usize {
    (cold_per_s * 3 / 2 + 5) as usize
}

/// Returns a list of two upstreams, one of them with this start and cold time.
fn list(revision: u64, started_unix_ms: u64, cold_left_ms: u64) -> UpstreamList {
    let mut cold = listed_upstream("tool-1", "tools");
    cold.config.started_unix_ms = started_unix_ms;
    cold.config.cold_left_ms = cold_left_ms;
    // Calls wait for the cold upstream, since the other one is busy.
    let mut busy = listed_upstream("tool-2", "tools");
    busy.config.max_running_calls = 1;
    UpstreamList {
        revision,
        upstreams: vec![cold, busy],
    }
}

fn start(vms: usize, cold_per_s: u64, seed: u64) -> RelayFleet {
    let mut config = fleet(1, vec![account("bus", 100_000, 100_000)]);
    for service in &mut config.services {
        service.cold_mcalls_per_s = cold_per_s * 1_000;
    }
    let mut relays = RelayFleet::new(vms, config, list(1, 1, 0), seed);
    relays.run_ms(3_000);
    relays
}

/// Sends calls through all VMs, several at once.
fn send_calls(relays: &mut RelayFleet, vms: usize, per_s: u64, ms: u64) {
    for _ in 0..ms / 10 {
        for _ in 0..per_s / 100 {
            let vm = relays.draw(vms as u64) as usize;
            relays.call(vm, RelayCall::tool("bus"));
        }
        relays.run_ms(10);
    }
}

/// Returns the most calls that reached the cold upstream in any second after a time.
fn most_in_second(relays: &RelayFleet, from_us: u64) -> usize {
    let runs = relays.runs.iter();
    let runs = runs.filter(|run| run.upstream == "tool-1" && run.at_us >= from_us);
    let times: Vec<u64> = runs.map(|run| run.at_us).collect();
    let in_second =
        |first: usize| times[first..].partition_point(|at_us| *at_us < times[first] + 1_000_000);
    (0..times.len()).map(in_second).max().unwrap_or(0)
}

/// Guards against VMs that each send a cold upstream what all may send together, under a burst.
#[rstest]
fn shared_limit(#[values(8, 80)] vms: usize, #[values(5, 20, 40)] cold_per_s: u64) {
    for seed in seeds() {
        let mut relays = start(vms, cold_per_s, seed);
        relays.store.set_upstreams(list(2, 2, 9_000));
        relays.run_ms(1_200);
        let from_us = relays.now_us();
        send_calls(&mut relays, vms, 600, 6_000);
        let most = most_in_second(&relays, from_us);
        assert!(most <= allowed(cold_per_s), "seed {seed}: {most}");
    }
}

/// Guards against the same while no VM hears another one.
#[rstest]
fn all_isolated(#[values(8, 80)] vms: usize, #[values(5, 20, 40)] cold_per_s: u64) {
    for seed in seeds() {
        let mut relays = start(vms, cold_per_s, seed);
        relays.store.set_upstreams(list(2, 2, 9_000));
        relays.run_ms(1_200);
        let from_us = relays.now_us();
        (0..vms).for_each(|vm| relays.set_isolated(vm, true));
        // Keys are refused once the configuration is 5 s old.
        send_calls(&mut relays, vms, 600, 4_500);
        let most = most_in_second(&relays, from_us);
        assert!(most <= allowed(cold_per_s), "seed {seed}: {most}");
    }
}

/// Guards against an upstream that becomes cold again while the list does not say so yet.
#[rstest]
#[case(8)]
#[case(80)]
fn stated_in_response(#[case] vms: usize) {
    for seed in seeds() {
        let mut relays = start(vms, 20, seed);
        relays.set_cold_ms("tool-1", Some(3_000));
        send_calls(&mut relays, vms, 400, 100);
        let from_us = relays.now_us();
        send_calls(&mut relays, vms, 400, 600);
        relays.store.set_upstreams(list(2, 1, 2_000));
        send_calls(&mut relays, vms, 400, 3_000);
        let most = most_in_second(&relays, from_us);
        assert!(most <= allowed(20), "seed {seed}: {most}");
    }
}

/// Guards against a limit that stays after the upstream is warm, and against one where no service
/// asks for it.
#[rstest]
fn warm_again() {
    let mut relays = start(8, 5, 1);
    relays.store.set_upstreams(list(2, 2, 2_000));
    send_calls(&mut relays, 8, 400, 2_000);
    relays.store.set_upstreams(list(3, 2, 0));
    send_calls(&mut relays, 8, 400, 2_000);
    assert!(most_in_second(&relays, relays.now_us() - 1_000_000) >= 50);
    let mut relays = start(8, 0, 1);
    relays.store.set_upstreams(list(2, 2, 9_000));
    send_calls(&mut relays, 8, 400, 3_000);
    assert!(most_in_second(&relays, relays.now_us() - 1_000_000) >= 50);
}
