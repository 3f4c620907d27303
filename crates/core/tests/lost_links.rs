//! Guards against callers who are served worse because the VM that they reach has lost its links to
//! the upstreams, and against upstreams that are taken for crashed because of that.

use knapweeddale_core::tables::Link;
use knapweeddale_core::{CallId, RefusalKind, UpstreamName};
use knapweeddale_testing::relays::{
    LinkFault, RelayCall, RelayFleet, UpstreamState, account, fleet, upstreams,
};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Time in which a VM finds out that its links are lost.
const DETECTION_MS: u64 = 2_000;

/// Starts VMs with an account that may send any number of calls.
fn start(vms: usize, seed: u64) -> RelayFleet {
    let config = fleet(1, vec![account("bus", 100_000, 100_000)]);
    let mut relays = RelayFleet::new(vms, config, upstreams(1), seed);
    relays.run_ms(3_000);
    relays
}

/// Sends a lookup and a payment every 25 ms, to VMs drawn from the seed; returns the calls by VM.
fn send_calls(relays: &mut RelayFleet, vms: &[usize], ms: u64) -> Vec<(usize, CallId)> {
    let mut calls = Vec::new();
    for _ in 0..ms / 25 {
        for path in ["/tool/x", "/pay/x"] {
            let vm = vms[relays.draw(vms.len() as u64) as usize];
            let call = RelayCall {
                path: path.to_owned(),
                ..RelayCall::tool("bus")
            };
            calls.push((vm, relays.call(vm, call)));
        }
        relays.run_ms(25);
    }
    relays.run_ms(1_500);
    calls
}

/// Returns how many of the calls to some VMs were answered, in percent.
fn answered_percent(relays: &RelayFleet, calls: &[(usize, CallId)], vms: &[usize]) -> usize {
    let sent = calls.iter().filter(|(vm, _)| vms.contains(vm));
    let answered = sent.clone().filter(|(_, call)| relays.is_answered(*call));
    answered.count() * 100 / sent.count().max(1)
}

/// Guards against calls that fail while other VMs reach the upstreams.
#[rstest]
#[case(LinkFault::Silent, 5)]
#[case(LinkFault::Refused, 3)]
#[case(LinkFault::Silent, 1)]
#[case(LinkFault::Refused, 7)]
fn cut_off_vms(#[case] fault: LinkFault, #[case] cut: usize) {
    for seed in seeds() {
        let mut relays = start(8, seed);
        let all: Vec<usize> = (0..8).collect();
        send_calls(&mut relays, &all, 1_000);
        for vm in 0..cut {
            relays.set_link_fault(vm, None, Some(fault));
        }
        send_calls(&mut relays, &all, DETECTION_MS);
        let calls = send_calls(&mut relays, &all, 3_000);
        let there = answered_percent(&relays, &calls, &all[..cut]);
        let others = answered_percent(&relays, &calls, &all[cut..]);
        assert!(others >= 98, "seed {seed}: {others} in 100 at the others");
        assert!(there >= 95, "seed {seed}: {there} in 100 at those cut off");
    }
}

/// Returns a VM's link to an upstream, as it believes.
fn link(relays: &RelayFleet, vm: usize, upstream: &str) -> Link {
    let rows = &relays.control(vm).tables().upstreams;
    let row = rows.get(&UpstreamName::from(upstream));
    row.expect("a listed upstream").link
}

/// Returns whether a VM takes an upstream for one that crashed lately.
fn has_crashed(relays: &RelayFleet, vm: usize, upstream: &str) -> bool {
    let rows = &relays.control(vm).tables().upstreams;
    let row = rows.get(&UpstreamName::from(upstream));
    row.is_some_and(|row| row.health.has_crashed_recently(relays.now_us()))
}

/// Returns whether a VM counts a crash for any content.
fn has_suspects(relays: &RelayFleet, vm: usize) -> bool {
    let mut suspects = relays.control(vm).tables().suspects.iter();
    suspects.any(|(_, row)| row.crashes > 0)
}

/// Guards against upstreams that are taken for crashed, and contents that become suspects, because
/// of a VM that is cut off.
#[rstest]
#[case(LinkFault::Silent)]
#[case(LinkFault::Refused)]
fn no_crash(#[case] fault: LinkFault) {
    for seed in seeds() {
        let mut relays = start(8, seed);
        let all: Vec<usize> = (0..8).collect();
        send_calls(&mut relays, &all, 1_000);
        for vm in 0..4 {
            relays.set_link_fault(vm, None, Some(fault));
            relays.reset_connections(vm, None, 100);
        }
        send_calls(&mut relays, &all, 3_000);
        for vm in 0..8 {
            for tool in ["tool-1", "tool-2"] {
                assert!(
                    !has_crashed(&relays, vm, tool),
                    "seed {seed}: vm-{vm}, {tool}"
                );
            }
            assert!(!has_suspects(&relays, vm), "seed {seed}: vm-{vm}");
        }
    }
}

/// Guards against a crash that is not seen any more because other VMs are asked first.
#[rstest]
#[case(UpstreamState::Crashed)]
#[case(UpstreamState::Silent)]
fn real_crash(#[case] state: UpstreamState) {
    for seed in seeds() {
        let mut relays = start(8, seed);
        send_calls(&mut relays, &[0], 500);
        relays.set_upstream_state("tool-1", Some(state));
        send_calls(&mut relays, &[0], 1_500);
        assert!(has_crashed(&relays, 0, "tool-1"), "seed {seed}");
        assert_eq!(link(&relays, 0, "tool-1"), Link::Up, "seed {seed}");
    }
}

/// Guards against a detour that goes on after the links are back.
#[rstest]
#[case(LinkFault::Silent)]
#[case(LinkFault::Refused)]
fn links_return(#[case] fault: LinkFault) {
    for seed in seeds() {
        let mut relays = start(8, seed);
        relays.set_link_fault(0, None, Some(fault));
        send_calls(&mut relays, &[0], 3_000);
        assert!(relays.control(0).tables().links.is_cut_off, "seed {seed}");
        relays.set_link_fault(0, None, None);
        relays.run_ms(1_500);
        let before = relays.proxied_runs;
        let calls = send_calls(&mut relays, &[0], 1_000);
        assert_eq!(answered_percent(&relays, &calls, &[0]), 100, "seed {seed}");
        assert_eq!(relays.proxied_runs, before, "seed {seed}");
    }
}

/// Guards against calls that fail each time that links come and go.
#[rstest]
fn flapping_links() {
    for seed in seeds() {
        let mut relays = start(8, seed);
        let all: Vec<usize> = (0..8).collect();
        let mut calls = Vec::new();
        for round in 0..6 {
            let fault = (round % 2 == 0).then_some(LinkFault::Refused);
            relays.set_link_fault(0, None, fault);
            calls.extend(send_calls(&mut relays, &all, 1_000));
        }
        let there = answered_percent(&relays, &calls, &[0]);
        assert!(there >= 95, "seed {seed}: {there} in 100");
    }
}

/// Guards against a VM that takes all links for lost when only some are.
#[rstest]
#[case(LinkFault::Silent)]
#[case(LinkFault::Refused)]
fn some_links(#[case] fault: LinkFault) {
    for seed in seeds() {
        let mut relays = start(8, seed);
        relays.set_link_fault(0, Some("tool-1"), Some(fault));
        send_calls(&mut relays, &[0], DETECTION_MS);
        let calls = send_calls(&mut relays, &[0], 2_000);
        assert!(answered_percent(&relays, &calls, &[0]) >= 98, "seed {seed}");
        assert_eq!(link(&relays, 0, "tool-1"), Link::Lost, "seed {seed}");
        assert_eq!(link(&relays, 0, "tool-2"), Link::Up, "seed {seed}");
    }
}

/// Guards against calls that go through a VM that has died, or is cut off as well.
#[rstest]
fn proxies_fail() {
    for seed in seeds() {
        let mut relays = start(8, seed);
        relays.set_link_fault(0, None, Some(LinkFault::Silent));
        send_calls(&mut relays, &[0], DETECTION_MS);
        for vm in 1..4 {
            relays.kill(vm);
        }
        for vm in 4..7 {
            relays.set_link_fault(vm, None, Some(LinkFault::Silent));
        }
        send_calls(&mut relays, &[0], DETECTION_MS);
        let calls = send_calls(&mut relays, &[0], 2_000);
        let answered = answered_percent(&relays, &calls, &[0]);
        assert!(answered >= 95, "seed {seed}: {answered} in 100");
    }
}

/// Guards against calls that wait until their deadline when nobody reaches the upstreams.
#[rstest]
fn nobody_reaches() {
    let mut relays = start(3, 1);
    relays.set_link_fault(0, None, Some(LinkFault::Refused));
    send_calls(&mut relays, &[0], 1_000);
    for vm in 1..3 {
        relays.kill(vm);
    }
    relays.run_ms(1_500);
    let call = relays.call(0, RelayCall::tool("bus"));
    relays.run_ms(20);
    assert_eq!(relays.refusal(call), Some(RefusalKind::NoUpstream));
}

/// Guards against a VM that tells others of crashes although it reaches nobody at all.
#[rstest]
fn isolated_and_cut_off() {
    for seed in seeds() {
        let mut relays = start(8, seed);
        let all: Vec<usize> = (0..8).collect();
        send_calls(&mut relays, &all, 500);
        relays.set_link_fault(0, None, Some(LinkFault::Silent));
        relays.set_isolated(0, true);
        relays.reset_connections(0, None, 100);
        send_calls(&mut relays, &all, 400);
        relays.set_isolated(0, false);
        relays.run_ms(1_000);
        for vm in 1..8 {
            assert!(!has_suspects(&relays, vm), "seed {seed}: vm-{vm}");
        }
    }
}

/// Guards against a limit that does not count calls that go through another VM.
#[rstest]
fn limit_counts_proxied() {
    let mut relays = start(8, 1);
    for tool in ["tool-1", "tool-2"] {
        relays.set_stated_rate(tool, Some(3_000));
    }
    for vm in 0..4 {
        relays.set_link_fault(vm, None, Some(LinkFault::Refused));
    }
    let all: Vec<usize> = (0..8).collect();
    send_calls(&mut relays, &all, DETECTION_MS);
    let from_us = relays.now_us();
    send_calls(&mut relays, &all, 4_000);
    let runs = relays.runs.iter();
    let runs = runs.filter(|run| run.upstream == "tool-1");
    let in_window = runs.filter(|run| (from_us..from_us + 4_000_000).contains(&run.at_us));
    assert!(in_window.count() <= 3 * 6 + 5);
}
