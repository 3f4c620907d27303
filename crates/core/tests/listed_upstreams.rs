//! Guards against calls to upstreams that have left the list in the store, and against listed
//! upstreams that get no calls.

use knapweeddale_core::UpstreamName;
use knapweeddale_testing::relays::{RelayFleet, account, fleet, listed_upstream, upstreams};
use rstest::rstest;

/// Calls that are sent to see which upstreams a VM uses.
const CALLS: usize = 6;

/// Starts VMs with one account.
fn start() -> RelayFleet {
    let config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    let mut relays = RelayFleet::new(4, config, upstreams(1), 1);
    relays.run_ms(3_000);
    relays
}

/// Guards against calls to an upstream whose entry says that it is leaving.
#[rstest]
fn leaving() {
    let mut relays = start();
    let mut list = upstreams(2);
    list.upstreams[2].config.leaving = true;
    relays.store.set_upstreams(list);
    relays.run_ms(1_500);
    for vm in 0..4 {
        assert_eq!(relays.run_tool_calls(vm, "bus", CALLS), ["tool-2"]);
    }
}

/// Guards against calls to an upstream whose entry has disappeared without notice.
#[rstest]
fn delisted() {
    let mut relays = start();
    let mut list = upstreams(2);
    list.upstreams.remove(2);
    relays.store.set_upstreams(list);
    relays.run_ms(1_500);
    for vm in 0..4 {
        assert_eq!(relays.run_tool_calls(vm, "bus", CALLS), ["tool-2"]);
    }
}

/// Guards against the removal of upstreams whose entries expired while the store was down.
#[rstest]
fn expired_entries() {
    let mut relays = start();
    relays.store.set_down(true);
    relays.run_ms(4_000);
    let mut list = upstreams(2);
    list.upstreams.truncate(2);
    relays.store.set_upstreams(list);
    relays.store.set_down(false);
    relays.run_ms(1_000);
    assert_eq!(relays.run_tool_calls(0, "bus", CALLS), ["tool-1", "tool-2"]);
    // One of them has written its entry again, the other has not.
    let mut list = upstreams(3);
    list.upstreams.remove(3);
    relays.store.set_upstreams(list);
    relays.run_ms(3_000);
    for vm in 0..4 {
        assert_eq!(relays.run_tool_calls(vm, "bus", CALLS), ["tool-1"]);
    }
}

/// Guards against a new upstream that gets no calls.
#[rstest]
fn added() {
    let mut relays = start();
    let mut list = upstreams(2);
    list.upstreams = vec![
        listed_upstream("engine-1", "models"),
        listed_upstream("tool-9", "tools"),
    ];
    relays.store.set_upstreams(list);
    relays.run_ms(1_500);
    assert_eq!(relays.run_tool_calls(3, "bus", CALLS), ["tool-9"]);
}

/// Guards against cache hints that remain valid after their upstream has restarted under the
/// same name.
#[rstest]
fn restarted() {
    let mut relays = start();
    let mut list = upstreams(2);
    list.upstreams[0].config.started_unix_ms = 99;
    relays.store.set_upstreams(list);
    relays.run_ms(1_500);
    let name = UpstreamName::from("engine-1");
    let row = relays.control(0).tables().upstreams.get(&name);
    let row = row.expect("listed upstream");
    assert!(row.health.cache_valid_from_us > 0);
}
