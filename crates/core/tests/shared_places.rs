//! Guards against VMs that place more calls on an upstream than it takes, because all of them act on
//! loads of each other that are up to 300 ms old.

use knapweeddale_core::UpstreamList;
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, UpstreamCapacity, account, fleet, listed_upstream,
};
use rstest::rstest;

const ENGINES: usize = 38;
const RUNNING_CALLS: usize = 8;

/// Mean time of a call; calls take between two thirds and four thirds of it.
const CALL_MS: u64 = 150;

/// Calls that all engines together end in a second.
const CAPACITY_PER_S: u64 = (ENGINES * RUNNING_CALLS) as u64 * 1_000 / CALL_MS;

/// Time in which the VMs have learned the speeds of the engines.
const LEARN_MS: u64 = 3_000;

/// Rejections and answers of a time under load.
struct Outcome {
    arrivals: u64,
    rejections: u64,
    answered_permille: u64,
}

/// Starts VMs with engines that run 8 calls, queue 24 and state 10 places, as on the platform.
fn start(vms: usize, seed: u64) -> RelayFleet {
    let names: Vec<String> = (0..ENGINES).map(|at| format!("tool-{at:02}")).collect();
    let rows = names.iter().map(|name| {
        let mut listed = listed_upstream(name, "tools");
        listed.config.max_running_calls = 10;
        listed
    });
    let list = UpstreamList {
        revision: 1,
        upstreams: rows.collect(),
    };
    let config = fleet(1, vec![account("bus", 100_000, 100_000)]);
    let mut relays = RelayFleet::with_shared_places(vms, config, list, seed);
    for name in &names {
        let capacity = UpstreamCapacity::new(RUNNING_CALLS, 24);
        relays.capacities.set(name, capacity);
    }
    relays.run_ms(3_000);
    relays
}

/// Sends calls at a percentage of the capacity; a quarter of each second has twice the mean load.
fn send_calls(relays: &mut RelayFleet, vms: usize, load_percent: u64, ms: u64) {
    let mut due_calls = 0;
    for at_ms in 0..ms {
        let burst_percent = if at_ms % 1_000 < 250 { 200 } else { 67 };
        due_calls += CAPACITY_PER_S * load_percent * burst_percent / 10;
        while due_calls >= 1_000_000 {
            due_calls -= 1_000_000;
            let vm = relays.draw(vms as u64) as usize;
            let run_ms = CALL_MS * 2 / 3 + relays.draw(CALL_MS * 2 / 3);
            let call = RelayCall {
                run_ms,
                ..RelayCall::tool("bus")
            };
            relays.call(vm, call);
        }
        relays.run_ms(1);
    }
}

/// Runs a load and returns what became of it.
fn run_load(relays: &mut RelayFleet, vms: usize, load_percent: u64) -> Outcome {
    let (arrivals, rejections) = (relays.capacities.arrivals, relays.capacities.rejections);
    let answered = relays.answered_calls();
    let ms = 4_000;
    send_calls(relays, vms, load_percent, ms);
    let answered = (relays.answered_calls() - answered) as u64;
    Outcome {
        arrivals: relays.capacities.arrivals - arrivals,
        rejections: relays.capacities.rejections - rejections,
        answered_permille: answered * 1_000_000 / (CAPACITY_PER_S * ms),
    }
}

/// Returns the answers, in thousandths of the capacity, that a load may not fall short of.
fn least_answered_permille(load_percent: u64) -> u64 {
    load_percent.min(100) * 10 * 95 / 100
}

/// Guards against a free place that all VMs take at once.
#[rstest]
#[case(60)]
#[case(90)]
#[case(130)]
fn full_rejections(#[case] load_percent: u64) {
    let mut relays = start(80, 1);
    send_calls(&mut relays, 80, load_percent, LEARN_MS);
    let outcome = run_load(&mut relays, 80, load_percent);
    println!(
        "load {load_percent}: {} of {} rejected, {} of 1000 answered",
        outcome.rejections, outcome.arrivals, outcome.answered_permille
    );
    assert!(outcome.rejections * 100 < outcome.arrivals);
    assert!(outcome.answered_permille >= least_answered_permille(load_percent));
}

/// Guards against VMs that take the places of others whom they do not hear.
#[rstest]
#[case(60)]
#[case(90)]
#[case(130)]
fn unheard_third(#[case] load_percent: u64) {
    let mut relays = start(80, 1);
    send_calls(&mut relays, 80, load_percent, LEARN_MS);
    for vm in 0..26 {
        relays.set_isolated(vm, true);
    }
    let outcome = run_load(&mut relays, 80, load_percent);
    println!(
        "third unheard, load {load_percent}: {} of {} rejected, {} of 1000 answered",
        outcome.rejections, outcome.arrivals, outcome.answered_permille
    );
    assert!(outcome.rejections * 100 < outcome.arrivals);
}

/// Guards against a restarted VM that takes places before it knows the loads of the others.
#[rstest]
fn restarted_vm() {
    let mut relays = start(80, 1);
    send_calls(&mut relays, 80, 130, LEARN_MS);
    for vm in 0..8 {
        relays.kill(vm);
        relays.restart(vm);
    }
    let restarted_us = relays.now_us();
    let outcome = run_load(&mut relays, 80, 130);
    println!("restart: {} of {}", outcome.rejections, outcome.arrivals);
    assert!(outcome.rejections * 100 < outcome.arrivals);
    let runs = relays.runs.iter().filter(|run| run.at_us > restarted_us);
    assert!(runs.filter(|run| run.vm < 8).count() > 100);
}

/// Guards against calls that wait for a share of places which no other VM wants.
#[rstest]
#[case(8)]
#[case(80)]
fn lone_burst(#[case] vms: usize) {
    let mut relays = start(vms, 1);
    for _ in 0..200 {
        relays.call(3, RelayCall::tool("bus"));
    }
    assert_eq!(relays.runs.len(), 200);
}

/// Guards against claims that leave places of a small fleet idle, where placement is unchanged.
#[rstest]
fn small_fleet() {
    let mut relays = start(8, 1);
    send_calls(&mut relays, 8, 130, LEARN_MS);
    let outcome = run_load(&mut relays, 8, 130);
    println!(
        "8 VMs: {} of {} rejected, {} of 1000 answered",
        outcome.rejections, outcome.arrivals, outcome.answered_permille
    );
    assert!(outcome.answered_permille >= least_answered_permille(130));
}

/// Returns the runs on the first six engines, in thousandths of all runs during a load.
fn first_six_permille(relays: &mut RelayFleet) -> usize {
    let before = relays.runs.len();
    send_calls(relays, 80, 60, 2_000);
    let runs = &relays.runs[before..];
    let first = runs.iter().filter(|run| run.upstream.as_str() < "tool-06");
    first.count() * 1_000 / runs.len()
}

/// Guards against engines that keep their part of the calls while they are slow, or that get none
/// when they are sound again.
#[rstest]
fn slow_engines() {
    let mut relays = start(80, 1);
    send_calls(&mut relays, 80, 60, LEARN_MS);
    let set_percent = |relays: &mut RelayFleet, time_percent: u64| {
        for name in (0..6).map(|at| format!("tool-{at:02}")) {
            let sound = UpstreamCapacity::new(RUNNING_CALLS, 24);
            let capacity = UpstreamCapacity {
                time_percent,
                ..sound
            };
            relays.capacities.set(&name, capacity);
        }
    };
    let sound = first_six_permille(&mut relays);
    set_percent(&mut relays, 250);
    send_calls(&mut relays, 80, 60, 1_000);
    let slow = first_six_permille(&mut relays);
    set_percent(&mut relays, 100);
    send_calls(&mut relays, 80, 60, 3_000);
    let back = first_six_permille(&mut relays);
    println!("slow engines: {sound}, {slow}, {back} of 1000");
    assert!(slow * 2 < sound, "{slow} of {sound}");
    assert!(back * 10 > sound * 7, "{back} of {sound}");
}
