//! Guards against callers who are served worse because the VM that they reach has lost its links to
//! the upstreams, and against upstreams that are taken for crashed because of that.

use knapweeddale_core::CallId;
use knapweeddale_testing::relays::{LinkFault, RelayCall, RelayFleet, account, fleet, upstreams};
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
