//! Guards against VMs that together send an upstream more than the rate that it states, and
//! against callers that wait in vain while all upstreams are limited.

use knapweeddale_core::{CallId, RefusalKind};
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, upstreams};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Window over which the platform counts the calls to an upstream.
const WINDOW_US: u64 = 4_000_000;

/// Time in which all VMs have learned of a limit.
const LEARN_MS: u64 = 1_000;

/// Returns the most calls that the platform allows in a window.
fn allowed(mcalls_per_s: u64) -> usize {
    (mcalls_per_s * 6 / 1_000 + 5) as usize
}

/// Starts VMs with an account that may send any number of calls.
fn start(vms: usize, seed: u64) -> RelayFleet {
    let config = fleet(1, vec![account("bus", 100_000, 100_000)]);
    let mut relays = RelayFleet::new(vms, config, upstreams(1), seed);
    relays.run_ms(3_000);
    relays
}

/// Sends calls at a rate through VMs drawn from the seed and returns them.
fn send_calls(relays: &mut RelayFleet, vms: &[usize], calls_per_s: u64, ms: u64) -> Vec<CallId> {
    let mut calls = Vec::new();
    for _ in 0..calls_per_s * ms / 1_000 {
        let vm = vms[relays.draw(vms.len() as u64) as usize];
        calls.push(relays.call(vm, RelayCall::tool("bus")));
        relays.run_ms(1_000 / calls_per_s);
    }
    calls
}

/// Returns the most calls that reached an upstream in any window that begins at `from_us` or later.
fn most_in_window(relays: &RelayFleet, upstream: &str, from_us: u64) -> usize {
    let runs = relays.runs.iter();
    let runs = runs.filter(|run| run.upstream == upstream && run.at_us >= from_us);
    let times: Vec<u64> = runs.map(|run| run.at_us).collect();
    let in_window =
        |first: usize| times[first..].partition_point(|at_us| *at_us < times[first] + WINDOW_US);
    (0..times.len()).map(in_window).max().unwrap_or(0)
}

/// Guards against VMs that each take the whole rate, with more calls than all upstreams take.
#[rstest]
#[case(8, 300)]
#[case(8, 2_000)]
#[case(8, 12_000)]
#[case(32, 1_000)]
#[case(64, 2_000)]
fn several_vms(#[case] vms: usize, #[case] mcalls_per_s: u64) {
    for seed in seeds() {
        let mut relays = start(vms, seed);
        let all: Vec<usize> = (0..vms).collect();
        for tool in ["tool-1", "tool-2"] {
            relays.set_stated_rate(tool, Some(mcalls_per_s));
        }
        send_calls(&mut relays, &all, 200, LEARN_MS);
        let from_us = relays.now_us();
        send_calls(&mut relays, &all, 100, 8_000);
        for tool in ["tool-1", "tool-2"] {
            let most = most_in_window(&relays, tool, from_us);
            assert!(most <= allowed(mcalls_per_s), "seed {seed}: {most}");
            let least = mcalls_per_s * 2 / 1_000;
            assert!(most as u64 >= least, "seed {seed}: only {most}");
        }
    }
}

/// Guards against a rate of which only the own part is used when the other VMs have no calls.
#[rstest]
fn one_busy_vm() {
    let mut relays = start(8, 1);
    relays.set_stated_rate("tool-1", Some(10_000));
    relays.set_stated_rate("tool-2", Some(10_000));
    send_calls(&mut relays, &[0], 100, LEARN_MS);
    let before = relays.runs.len();
    send_calls(&mut relays, &[0], 100, 4_000);
    let ran = relays.runs.len() - before;
    assert!(
        (60..=90).contains(&ran),
        "{ran} calls in 4 s at 20 a second"
    );
}

/// Guards against a burst of VMs that were killed together, or of the one that was told.
#[rstest]
#[case(&[0])]
#[case(&[0, 1, 2, 3, 4, 5, 6, 7])]
fn killed_vms(#[case] killed: &[usize]) {
    for seed in seeds() {
        let mut relays = start(8, seed);
        let all: Vec<usize> = (0..8).collect();
        relays.set_stated_rate("tool-1", Some(3_000));
        send_calls(&mut relays, &all, 100, LEARN_MS);
        for vm in killed {
            relays.kill(*vm);
        }
        relays.run_ms(300);
        for vm in killed {
            relays.restart(*vm);
        }
        relays.run_ms(700);
        let from_us = relays.now_us() + 500_000;
        send_calls(&mut relays, &all, 100, 6_000);
        let most = most_in_window(&relays, "tool-1", from_us);
        assert!(most <= allowed(3_000), "seed {seed}: {most}");
    }
}

/// Guards against a VM that takes a whole rate while it does not hear the others.
#[rstest]
#[case(&[0])]
#[case(&[0, 1, 2, 3, 4, 5, 6, 7])]
fn isolated_vms(#[case] isolated: &[usize]) {
    for seed in seeds() {
        let mut relays = start(8, seed);
        let all: Vec<usize> = (0..8).collect();
        relays.set_stated_rate("tool-1", Some(4_000));
        send_calls(&mut relays, &all, 100, LEARN_MS);
        let from_us = relays.now_us();
        for vm in isolated {
            relays.set_isolated(*vm, true);
        }
        // Keys are refused once the configuration is 5 s old.
        send_calls(&mut relays, &all, 100, 4_500);
        let most = most_in_window(&relays, "tool-1", from_us);
        assert!(most <= allowed(4_000), "seed {seed}: {most}");
    }
}

/// Guards against old news of a VM that was isolated while the limit ended.
#[rstest]
fn old_news() {
    let mut relays = start(3, 1);
    relays.set_stated_rate("tool-1", Some(1_000));
    send_calls(&mut relays, &[0, 1, 2], 50, LEARN_MS);
    relays.set_isolated(0, true);
    relays.run_ms(1_000);
    relays.set_stated_rate("tool-1", None);
    send_calls(&mut relays, &[1, 2], 50, 3_000);
    relays.set_isolated(0, false);
    relays.run_ms(1_000);
    for vm in 0..3 {
        let before = relays.runs.len();
        send_calls(&mut relays, &[vm], 50, 1_000);
        let runs = relays.runs[before..].iter();
        let first = runs.filter(|run| run.upstream == "tool-1").count();
        assert!(first >= 10, "vm-{vm} sent {first} of 50");
    }
}

/// Guards against a VM that hears of a limit only from the upstream itself.
#[rstest]
fn told_by_others() {
    let mut relays = start(3, 1);
    relays.set_stated_rate("tool-1", Some(1_000));
    send_calls(&mut relays, &[0], 50, LEARN_MS);
    let before = relays.runs.len();
    send_calls(&mut relays, &[1], 50, 1_000);
    let runs = relays.runs[before..].iter();
    let first = runs.filter(|run| run.upstream == "tool-1").count();
    assert!(first <= 3, "vm-1 sent {first}");
}

/// Guards against a limit that is forgotten while the entry of its upstream is away.
#[rstest]
fn entry_returns() {
    let mut relays = start(2, 1);
    relays.set_stated_rate("tool-1", Some(1_000));
    send_calls(&mut relays, &[0, 1], 50, LEARN_MS);
    let mut without = upstreams(2);
    without
        .upstreams
        .retain(|row| row.config.name.as_str() != "tool-1");
    relays.store.set_upstreams(without);
    relays.run_ms(1_500);
    relays.store.set_upstreams(upstreams(3));
    relays.run_ms(1_500);
    let from_us = relays.now_us();
    send_calls(&mut relays, &[0, 1], 50, 1_000);
    let most = most_in_window(&relays, "tool-1", from_us);
    assert!(most <= 4, "{most} calls in the first second");
}

/// Guards against a limit that never ends because its upstream gets no call any more.
#[rstest]
fn limit_of_zero_ends() {
    let mut relays = start(8, 1);
    let all: Vec<usize> = (0..8).collect();
    relays.set_stated_rate("tool-1", Some(0));
    send_calls(&mut relays, &all, 50, LEARN_MS);
    relays.set_stated_rate("tool-1", None);
    send_calls(&mut relays, &all, 50, 15_000);
    let from_us = relays.now_us();
    send_calls(&mut relays, &all, 50, 2_000);
    assert!(most_in_window(&relays, "tool-1", from_us) >= 30);
}

/// Guards against calls that wait until their deadline although the rates tell that they cannot be
/// placed, and against a `retry-after` that says nothing of the rates.
#[rstest]
fn refused_at_once() {
    let mut relays = start(1, 1);
    for tool in ["tool-1", "tool-2"] {
        relays.set_stated_rate(tool, Some(2_000));
    }
    send_calls(&mut relays, &[0], 20, LEARN_MS);
    relays.run_ms(2_000);
    let calls: Vec<CallId> = (0..40)
        .map(|_| relays.call(0, RelayCall::tool("bus")))
        .collect();
    let from_us = relays.now_us();
    relays.run_ms(20);
    let is_refused = |call: &CallId| relays.refusal(*call) == Some(RefusalKind::UpstreamsLimited);
    let refused = calls.iter().filter(|call| is_refused(call)).count();
    assert!((30..=37).contains(&refused), "{refused} refused at once");
    for (at_us, refusal) in relays
        .refusals
        .iter()
        .filter(|(at_us, _)| *at_us >= from_us)
    {
        let retry_after_ms = refusal.retry_after_ms.expect("a time to come back");
        assert!(
            (200..=2_000).contains(&retry_after_ms),
            "{at_us}: {retry_after_ms} ms"
        );
    }
    relays.run_ms(2_000);
    let answered = calls
        .iter()
        .filter(|call| relays.is_answered(**call))
        .count();
    assert!(answered >= 4, "{answered} answered of those that waited");
}

/// Guards against a full queue whose refusals also take a call that has time to wait.
#[rstest]
fn patient_call_stays() {
    let mut relays = start(1, 1);
    for tool in ["tool-1", "tool-2"] {
        relays.set_stated_rate(tool, Some(2_000));
    }
    send_calls(&mut relays, &[0], 20, LEARN_MS);
    relays.run_ms(1_000);
    let first: Vec<CallId> = (0..20)
        .map(|_| relays.call(0, RelayCall::tool("bus")))
        .collect();
    let unhurried = RelayCall {
        timeout_ms: 3_000,
        path: "/pay/x".to_owned(),
        ..RelayCall::tool("bus")
    };
    let patient = relays.call(0, unhurried);
    relays.run_ms(2_800);
    assert!(first.iter().any(|call| relays.refusal(*call).is_some()));
    assert!(relays.is_answered(patient), "{:?}", relays.refusal(patient));
}
