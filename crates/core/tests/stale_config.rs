//! Guards against calls that are admitted or denied by a configuration that is too old or not known
//! yet.

use knapweeddale_core::{FleetConfig, RefusalKind, Revision};
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, upstreams};
use rstest::rstest;

/// Starts VMs with one account.
fn start() -> RelayFleet {
    let config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    let mut relays = RelayFleet::new(4, config, upstreams(1), 1);
    relays.run_ms(3_000);
    relays
}

/// Sends a tool call and returns why it was refused.
fn refusal_kind(relays: &mut RelayFleet, vm: usize) -> Option<RefusalKind> {
    let id = relays.call(vm, RelayCall::tool("bus"));
    relays.run_ms(50);
    relays.refusal(id)
}

/// Guards against an isolated VM that accepts keys although it cannot learn of withdrawn ones.
#[rstest]
fn isolated_vm() {
    let mut relays = start();
    relays.set_isolated(1, true);
    relays.run_ms(3_000);
    assert_eq!(refusal_kind(&mut relays, 1), None);
    relays.run_ms(2_500);
    assert_eq!(refusal_kind(&mut relays, 1), Some(RefusalKind::Isolated));
    assert!(!relays.is_ready(1));
    relays.set_isolated(1, false);
    relays.run_ms(2_000);
    assert_eq!(refusal_kind(&mut relays, 1), None);
}

/// Guards against VMs that refuse calls although another VM reads the store for them.
#[rstest]
fn store_reached_by_one_vm() {
    let mut relays = start();
    for vm in 0..3 {
        relays.store.set_reachable(vm, false);
    }
    for _ in 0..20 {
        relays.run_ms(500);
        for vm in 0..4 {
            assert_eq!(refusal_kind(&mut relays, vm), None);
        }
    }
}

/// Guards against a new configuration that reaches some VMs late.
#[rstest]
fn new_revision() {
    let mut relays = start();
    let config = fleet(5, vec![account("bus", 1_000, 1_000)]);
    relays.store.publish(config);
    relays.run_ms(1_000);
    for vm in 0..4 {
        let revision = relays.control(vm).tables().fleet.revision;
        assert_eq!(revision, Revision(5));
    }
}

/// Guards against a key that works after it was withdrawn.
#[rstest]
fn withdrawn_key() {
    let mut relays = start();
    relays.store.publish(fleet(2, Vec::new()));
    relays.run_ms(1_000);
    for vm in 0..4 {
        assert_eq!(refusal_kind(&mut relays, vm), Some(RefusalKind::KeyUnknown));
    }
}

/// Guards against denials by a VM whose configuration is too old to deny anything.
#[rstest]
fn old_denial() {
    let mut relays = start();
    relays.set_isolated(2, true);
    relays.run_ms(3_000);
    let id = relays.call(2, RelayCall::tool("tram"));
    relays.run_ms(50);
    assert_eq!(relays.refusal(id), Some(RefusalKind::Isolated));
}

/// Guards against a new process that denies what it does not know yet.
#[rstest]
fn new_process() {
    let mut relays = start();
    relays.store.set_down(true);
    (0..4).for_each(|vm| relays.kill(vm));
    (0..4).for_each(|vm| relays.restart(vm));
    relays.run_ms(1_000);
    assert_eq!(
        refusal_kind(&mut relays, 0),
        Some(RefusalKind::NotConfigured)
    );
    relays.store.set_down(false);
    relays.run_ms(3_000);
    assert_eq!(refusal_kind(&mut relays, 0), None);
}

/// Guards against a restarted VM that waits for the store while others know the configuration.
#[rstest]
fn restart_in_outage() {
    let mut relays = start();
    relays.store.set_down(true);
    relays.run_ms(500);
    relays.kill(3);
    relays.restart(3);
    relays.run_ms(1_500);
    assert_eq!(refusal_kind(&mut relays, 3), None);
}

/// Guards against a configuration that is replaced when the store returns an older one.
#[rstest]
fn older_state() {
    let mut relays = start();
    relays
        .store
        .publish(fleet(9, vec![account("bus", 1_000, 1_000)]));
    relays.run_ms(1_500);
    relays.store.publish(FleetConfig {
        revision: Revision(4),
        ..FleetConfig::default()
    });
    relays.run_ms(2_000);
    assert_eq!(relays.control(0).tables().fleet.revision, Revision(9));
}

/// Guards against reads that grow with the number of VMs.
#[rstest]
fn one_reader() {
    let mut relays = start();
    let calls = |relays: &RelayFleet| relays.store.requests.values().sum::<u64>();
    let before = calls(&relays);
    relays.run_ms(10_000);
    // One VM reads the configuration and the list; the registrations come on top.
    let made = calls(&relays) - before;
    assert!(made <= 60, "{made} calls in 10 s");
}
