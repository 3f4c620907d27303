//! Guards against upstreams that have started or recovered and are flooded by many VMs at once, or
//! left idle.

use knapweeddale_core::{UpstreamList, UpstreamName};
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, listed_upstream};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Calls that an upstream runs at most.
const LIMIT_CALLS: u32 = 10;

/// How long a call runs on a sound upstream.
const RUN_MS: u64 = 100;

/// Time in which a list reaches all VMs.
const LIST_MS: u64 = 1_100;

/// Returns a list of upstreams `tool-1` and so on, some of which have started anew.
fn list(revision: u64, upstreams: usize, restarted: usize) -> UpstreamList {
    let rows = (1..=upstreams).map(|number| {
        let mut row = listed_upstream(&format!("tool-{number}"), "tools");
        row.config.max_running_calls = LIMIT_CALLS;
        row.config.started_unix_ms = if number <= restarted { revision } else { 1 };
        row
    });
    UpstreamList {
        revision,
        upstreams: rows.collect(),
    }
}

fn start(vms: usize, upstreams: usize, seed: u64) -> RelayFleet {
    let config = fleet(1, vec![account("bus", 100_000, 100_000)]);
    let mut relays = RelayFleet::new(vms, config, list(1, upstreams, 0), seed);
    relays.run_ms(3_000);
    relays
}

/// Sends calls that keep most places of the upstreams in use.
fn send_calls(relays: &mut RelayFleet, vms: &[usize], per_ms: f64, ms: u64) {
    let mut due = 0.0;
    for _ in 0..ms {
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let vm = vms[relays.draw(vms.len() as u64) as usize];
            let call = RelayCall {
                run_ms: RUN_MS,
                ..RelayCall::tool("bus")
            };
            relays.call(vm, call);
        }
        relays.run_ms(1);
    }
}

/// Returns the most calls that an upstream ran at once in a time.
fn most_running(relays: &RelayFleet, upstream: &str, run_ms: u64, (from, to): (u64, u64)) -> usize {
    let runs = relays.runs.iter().filter(|run| run.upstream == upstream);
    let times: Vec<u64> = runs.map(|run| run.at_us).collect();
    let upto = |at_us: u64| times.partition_point(|time_us| *time_us <= at_us);
    let in_time = times.iter().filter(|at_us| (from..to).contains(*at_us));
    in_time
        .map(|at_us| upto(*at_us) - upto(at_us.saturating_sub(run_ms * 1_000)))
        .max()
        .unwrap_or(0)
}

fn is_paced(relays: &RelayFleet, vm: usize, upstream: &str) -> bool {
    let rows = &relays.control(vm).tables().pacing.rows;
    let row = rows.get(&UpstreamName::from(upstream));
    row.is_some_and(|row| row.running().is_some())
}

/// Restarts the first upstreams and returns the time at which all VMs know of it.
fn return_upstreams(
    relays: &mut RelayFleet,
    rows: UpstreamList,
    vms: &[usize],
    per_ms: f64,
) -> u64 {
    relays.store.set_upstreams(rows);
    send_calls(relays, vms, per_ms, LIST_MS);
    relays.now_us()
}

/// Guards against 80 VMs that fill a returning upstream at once, and against one that is still held
/// back after 2 s of sound answers.
#[rstest]
#[case(8, 4)]
#[case(80, 4)]
fn one_returns(#[case] vms: usize, #[case] upstreams: usize) {
    for seed in seeds() {
        let mut relays = start(vms, upstreams, seed);
        let all: Vec<usize> = (0..vms).collect();
        let per_ms = upstreams as f64 * 0.095;
        send_calls(&mut relays, &all, per_ms, 1_000);
        relays.store.set_upstreams(list(2, upstreams, 1));
        send_calls(&mut relays, &all, per_ms, 350);
        let known_us = relays.now_us();
        send_calls(&mut relays, &all, per_ms, 2_500);
        let begin = (known_us, known_us + 200_000);
        let most = most_running(&relays, "tool-1", RUN_MS, begin);
        assert!(most <= 5, "seed {seed}: {most} calls at the beginning");
        let end = (known_us + 2_000_000, known_us + 2_500_000);
        let most = most_running(&relays, "tool-1", RUN_MS, end);
        assert!(most >= LIMIT_CALLS as usize, "seed {seed}: only {most}");
        assert!(!is_paced(&relays, 0, "tool-1"), "seed {seed}");
    }
}

/// Guards against an upstream that answers slowly and gets its full number of calls nevertheless.
#[rstest]
#[case(8)]
#[case(80)]
fn slow_answers(#[case] vms: usize) {
    for seed in seeds() {
        let mut relays = start(vms, 4, seed);
        let all: Vec<usize> = (0..vms).collect();
        send_calls(&mut relays, &all, 0.25, 1_000);
        relays.set_run_percent("tool-1", 500);
        let known_us = return_upstreams(&mut relays, list(2, 4, 1), &all, 0.25);
        send_calls(&mut relays, &all, 0.25, 4_000);
        let time = (known_us, relays.now_us());
        let most = most_running(&relays, "tool-1", 5 * RUN_MS, time);
        assert!(most <= 5, "seed {seed}: {most}");
        assert!(most >= 1, "seed {seed}: left idle");
    }
}

/// Guards against a flood when all upstreams of a failure domain return at once.
#[rstest]
#[case(8, 0.6)]
#[case(80, 1.1)]
fn domain_returns(#[case] vms: usize, #[case] per_ms: f64) {
    for seed in seeds() {
        let mut relays = start(vms, 12, seed);
        let all: Vec<usize> = (0..vms).collect();
        send_calls(&mut relays, &all, per_ms, 500);
        relays.store.set_upstreams(list(2, 12, 4));
        send_calls(&mut relays, &all, per_ms, 350);
        let known_us = relays.now_us();
        send_calls(&mut relays, &all, per_ms, 300);
        for number in 1..=4 {
            let time = (known_us, known_us + 200_000);
            let most = most_running(&relays, &format!("tool-{number}"), RUN_MS, time);
            assert!(most <= 6, "seed {seed}: {most} on tool-{number}");
        }
    }
}

/// Guards against VMs that take the places of others while a third of them is not heard.
#[rstest]
#[case(9)]
#[case(81)]
fn third_unheard(#[case] vms: usize) {
    for seed in seeds() {
        let mut relays = start(vms, 4, seed);
        let all: Vec<usize> = (0..vms).collect();
        send_calls(&mut relays, &all, 0.3, 1_000);
        relays.set_run_percent("tool-1", 500);
        let known_us = return_upstreams(&mut relays, list(2, 4, 1), &all, 0.3);
        (0..vms / 3).for_each(|vm| relays.set_isolated(vm, true));
        send_calls(&mut relays, &all, 0.3, 2_000);
        let time = (known_us, relays.now_us());
        let most = most_running(&relays, "tool-1", 5 * RUN_MS, time);
        assert!(most <= 8, "seed {seed}: {most}");
    }
}

/// Guards against a restarted VM that does not know what is paced and fills it.
#[rstest]
#[case(8)]
#[case(80)]
fn restarted_vm(#[case] vms: usize) {
    for seed in seeds() {
        let mut relays = start(vms, 4, seed);
        let all: Vec<usize> = (0..vms).collect();
        send_calls(&mut relays, &all, 0.25, 1_000);
        relays.set_run_percent("tool-1", 500);
        return_upstreams(&mut relays, list(2, 4, 1), &all, 0.25);
        relays.kill(0);
        send_calls(&mut relays, &all[1..], 0.25, 300);
        relays.restart(0);
        let from = relays.runs.len();
        send_calls(&mut relays, &[0], 0.2, 1_000);
        let runs = relays.runs[from..].iter();
        let own = runs.filter(|run| run.vm == 0 && run.upstream == "tool-1");
        let own = own.count();
        assert!(own <= 4, "seed {seed}: {own} calls");
        assert!(is_paced(&relays, 0, "tool-1"), "seed {seed}");
    }
}

/// Guards against an upstream that gets all its calls each time that it comes up for a moment.
#[rstest]
#[case(8)]
#[case(80)]
fn flapping(#[case] vms: usize) {
    for seed in seeds() {
        let mut relays = start(vms, 4, seed);
        let all: Vec<usize> = (0..vms).collect();
        send_calls(&mut relays, &all, 0.25, 500);
        for revision in 2..6 {
            relays.crash_upstream("tool-1");
            send_calls(&mut relays, &all, 0.25, 700);
            relays.set_upstream_state("tool-1", None);
            relays.store.set_upstreams(list(revision, 4, 1));
            send_calls(&mut relays, &all, 0.25, 350);
            let known_us = relays.now_us();
            send_calls(&mut relays, &all, 0.25, 300);
            let time = (known_us, known_us + 200_000);
            let most = most_running(&relays, "tool-1", RUN_MS, time);
            assert!(most <= 6, "seed {seed}, round {revision}: {most}");
        }
    }
}

/// Guards against an upstream that is left idle by a fleet with one VM, or with fewer VMs than its
/// window has places.
#[rstest]
#[case(1, 200)]
#[case(3, 1_500)]
fn few_vms(#[case] vms: usize, #[case] within_ms: u64) {
    let mut relays = start(vms, 2, 1);
    let all: Vec<usize> = (0..vms).collect();
    send_calls(&mut relays, &all, 0.19, 500);
    let known_us = return_upstreams(&mut relays, list(2, 2, 1), &all, 0.19);
    send_calls(&mut relays, &all, 0.19, within_ms + 500);
    let time = (known_us + within_ms * 1_000, relays.now_us());
    let most = most_running(&relays, "tool-1", RUN_MS, time);
    assert!(most >= LIMIT_CALLS as usize - 1, "only {most}");
}
