//! Guards against rates that are exceeded, or refused too early, when VMs share them without an
//! owner.

use knapweeddale_core::{AccountName, RefusalKind};
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, upstreams};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Window over which admitted calls are counted.
const WINDOW_MS: u64 = 5_000;

/// Starts VMs with one account.
fn start(rate_per_s: u64, burst: u64, seed: u64) -> RelayFleet {
    let config = fleet(1, vec![account("bus", rate_per_s, burst)]);
    let mut relays = RelayFleet::new(8, config, upstreams(1), seed);
    relays.run_ms(3_000);
    relays
}

/// Sends calls at a rate through the first `alive` VMs, in an order drawn from the seed.
fn send_calls(relays: &mut RelayFleet, calls_per_s: u64, ms: u64, alive: u64) {
    for _ in 0..calls_per_s * ms / 1_000 {
        let vm = relays.draw(alive) as usize;
        relays.call(vm, RelayCall::tool("bus"));
        relays.run_ms(1_000 / calls_per_s);
    }
}

/// Guards against VMs that together admit more than the rate and the burst.
#[rstest]
fn hot_account() {
    for seed in seeds() {
        let mut relays = start(50, 50, seed);
        send_calls(&mut relays, 250, 12_000, 8);
        relays.run_ms(1_000);
        let most = relays.max_runs_in_window("bus", WINDOW_MS);
        // The platform tolerates a tenth more and 20 calls for what is decided at once.
        assert!(most <= (50 * 5 + 50) * 11 / 10 + 20, "seed {seed}: {most}");
        assert!(most >= 250, "seed {seed}: only {most}");
    }
}

/// Guards against refusals of an account that stays within its rate.
#[rstest]
fn ordinary_account() {
    for seed in seeds() {
        let mut relays = start(50, 50, seed);
        send_calls(&mut relays, 40, 10_000, 8);
        relays.run_ms(1_000);
        assert!(relays.refusals.is_empty(), "seed {seed}");
    }
}

/// Guards against a second burst after all processes were killed at once.
#[rstest]
fn killed_together() {
    for seed in seeds() {
        let mut relays = start(50, 50, seed);
        send_calls(&mut relays, 250, 4_000, 8);
        for vm in 0..8 {
            relays.kill(vm);
        }
        relays.run_ms(500);
        for vm in 0..8 {
            relays.restart(vm);
        }
        relays.run_ms(300);
        send_calls(&mut relays, 250, 6_000, 8);
        let most = relays.max_runs_in_window("bus", WINDOW_MS);
        assert!(most <= (50 * 5 + 50) * 11 / 10 + 20, "seed {seed}: {most}");
    }
}

/// Guards against a VM that spends a whole rate while it is isolated.
#[rstest]
fn isolated_vm() {
    for seed in seeds() {
        let mut relays = start(50, 50, seed);
        send_calls(&mut relays, 250, 2_000, 8);
        relays.set_isolated(0, true);
        send_calls(&mut relays, 250, 6_000, 8);
        let most = relays.max_runs_in_window("bus", WINDOW_MS);
        assert!(most <= (50 * 5 + 50) * 11 / 10 + 20, "seed {seed}: {most}");
    }
}

/// Guards against a limit that takes effect late after it was lowered far below the use.
#[rstest]
fn lowered_limit() {
    let mut relays = start(200, 200, 1);
    send_calls(&mut relays, 100, 3_000, 8);
    relays.store.publish(fleet(2, vec![account("bus", 10, 10)]));
    send_calls(&mut relays, 100, 2_000, 8);
    let before = relays.runs.len();
    send_calls(&mut relays, 100, 5_000, 8);
    let ran = relays.runs.len() - before;
    assert!(ran <= (10 * 5 + 10) * 11 / 10 + 20, "{ran}");
}

/// Guards against new programs that use up the rate while known programs need it.
#[rstest]
fn new_programs() {
    let mut relays = start(20, 20, 1);
    // A known program and new ones compete for a bucket that others have drained.
    relays.call(0, RelayCall::turn("bus", "tour", 9_000, 100));
    relays.run_ms(300);
    for _ in 0..7 {
        relays.call(0, RelayCall::tool("bus"));
    }
    let new = relays.call(0, RelayCall::turn("bus", "season", 9_000, 100));
    let known = relays.call(0, RelayCall::turn("bus", "tour", 9_000, 100));
    relays.run_ms(1_000);
    assert!(relays.has_run(known));
    assert_eq!(relays.refusal(new), Some(RefusalKind::OverRate));
}

/// Guards against a restarted VM that counts all calls since the start of the others as new.
#[rstest]
fn restarted_vm() {
    let mut relays = start(50, 50, 1);
    send_calls(&mut relays, 40, 10_000, 8);
    relays.kill(3);
    relays.restart(3);
    relays.run_ms(1_500);
    for _ in 0..20 {
        let id = relays.call(3, RelayCall::tool("bus"));
        relays.run_ms(100);
        assert!(relays.has_run(id), "{:?}", relays.refusal(id));
    }
}

/// Guards against VMs that share a rate with a VM that stays down.
#[rstest]
fn lost_vm() {
    let mut relays = start(50, 50, 1);
    relays.kill(7);
    relays.run_ms(2_000);
    let part = relays.control(0).tables().peering.usable_fraction();
    assert_eq!(part, (7, 8));
    relays.run_ms(10_000);
    let part = relays.control(0).tables().peering.usable_fraction();
    assert_eq!(part, (7, 7));
    let share = &relays.control(0).tables().shares;
    let bus = share.get(&AccountName::from("bus")).expect("known account");
    // The rate and a tenth of the burst in each second of the window.
    assert_eq!(bus.bucket.rate_mcalls_per_s, 55_000);
}
