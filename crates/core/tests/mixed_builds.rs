//! Guards against rates that are exceeded while VMs of several builds run side by side, some of
//! which cannot read the others' summaries or do not report all of their calls.

use knapweeddale_core::{Input, PeerEvent};
use knapweeddale_testing::relays::{OtherBuild, RelayCall, RelayFleet, account, fleet, upstreams};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Time after which a VM that is not heard is forgotten, and more.
const RETENTION_MS: u64 = 12_000;

/// Starts VMs with an account, some of which run another build from the start or from a restart on.
fn start(
    (vms, per_s): (usize, u64),
    others: &[usize],
    build: OtherBuild,
    (seed, restarts): (u64, bool),
) -> RelayFleet {
    let config = fleet(1, vec![account("bus", per_s, per_s)]);
    let mut relays = RelayFleet::new(vms, config, upstreams(1), seed);
    if restarts {
        relays.run_ms(3_000);
    }
    for vm in others {
        relays.set_build(*vm, Some(build));
        relays.kill(*vm);
        relays.restart(*vm);
    }
    relays.run_ms(RETENTION_MS);
    relays
}

/// Sends calls at a rate through VMs drawn from the seed.
fn send_calls(relays: &mut RelayFleet, vms: &[usize], calls_per_s: u64, ms: u64) {
    for _ in 0..calls_per_s * ms / 1_000 {
        let vm = vms[relays.draw(vms.len() as u64) as usize];
        relays.call(vm, RelayCall::tool("bus"));
        relays.run_ms(1_000 / calls_per_s);
    }
}

/// Guards against 481 calls instead of 284 in 5 s, which VMs of b587e6b beside VMs of 5b94796
/// admitted: neither could read the other's summaries, and each took the whole rate.
#[rstest]
fn account_rate(
    #[values(OtherBuild::Unreadable, OtherBuild::Earliest)] build: OtherBuild,
    #[values(&[1], &[0, 2, 3])] others: &[usize],
    #[values(false, true)] restarts: bool,
) {
    for seed in seeds() {
        let mut relays = start((4, 50), others, build, (seed, restarts));
        send_calls(&mut relays, &[0, 1, 2, 3], 250, 12_000);
        let most = relays.max_runs_in_window("bus", 5_000);
        assert!(most <= (50 * 5 + 50) * 11 / 10 + 20, "seed {seed}: {most}");
        assert!(most >= 200, "seed {seed}: only {most}");
    }
}

/// Guards against VMs that take the whole rate of an upstream while another one sends it calls that
/// it does not report.
#[rstest]
fn upstream_rate(#[values(OtherBuild::Unreadable, OtherBuild::Earliest)] build: OtherBuild) {
    for seed in seeds() {
        let mut relays = start((4, 100_000), &[2, 3], build, (seed, true));
        relays.set_stated_rate("tool-1", Some(10_000));
        relays.set_stated_rate("tool-2", Some(10_000));
        send_calls(&mut relays, &[0, 1], 100, 2_000);
        let before = relays.runs.len();
        send_calls(&mut relays, &[0, 1], 100, 10_000);
        let ran = relays.runs.len() - before;
        // Half of 20 calls a second in 10 s, and the bursts.
        assert!((75..=125).contains(&ran), "seed {seed}: {ran}");
    }
}

/// Guards against a VM that stays known after it has ended, is heard again too late, or is not
/// counted since the build before announced its end.
#[rstest]
fn unreadable_row() {
    let known = |relays: &RelayFleet| relays.control(0).tables().peering.usable_fraction();
    let mut relays = start((3, 50), &[1], OtherBuild::Unreadable, (1, true));
    assert_eq!(known(&relays), (2, 3));
    relays.set_build(1, None);
    relays.run_ms(1_000);
    assert_eq!(known(&relays), (3, 3));
    relays.stop(1, 500);
    relays.run_ms(1_000);
    relays.kill(1);
    relays.set_build(1, Some(OtherBuild::Unreadable));
    relays.restart(1);
    relays.run_ms(2_000);
    assert_eq!(known(&relays), (2, 3));
    relays.kill(1);
    relays.run_ms(RETENTION_MS);
    assert_eq!(known(&relays), (2, 2));
}

/// Guards against rows for addresses of no known VM, which anyone may send from.
#[rstest]
fn unknown_address() {
    let mut relays = start((2, 50), &[], OtherBuild::Unreadable, (1, true));
    let address = "10.9.9.9:7780".into();
    relays.give_input(0, Input::PeerEvent(PeerEvent::Unreadable { address }));
    relays.run_ms(1_000);
    let peering = &relays.control(0).tables().peering;
    assert_eq!(
        (peering.peers.len(), peering.usable_fraction()),
        (1, (2, 2))
    );
}
