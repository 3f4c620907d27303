//! Guards against calls to an upstream that has stated in a response that it is leaving, and
//! against the loss of its successor.

use knapweeddale_core::UpstreamList;
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, upstreams};
use rstest::rstest;

/// Start of the first process of `tool-1`.
const FIRST_START_MS: u64 = 1_000;

/// Returns the list of upstreams, with the start of `tool-1`.
fn list(revision: u64, started_unix_ms: u64) -> UpstreamList {
    let mut list = upstreams(revision);
    let tool = list.upstreams.iter_mut();
    for row in tool.filter(|row| row.config.name.as_str() == "tool-1") {
        row.config.started_unix_ms = started_unix_ms;
    }
    list
}

/// Starts a VM.
fn start() -> RelayFleet {
    let config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    let mut relays = RelayFleet::new(1, config, list(1, FIRST_START_MS), 1);
    relays.run_ms(3_000);
    relays
}

/// Sends calls and returns whether any ran on `tool-1`.
fn uses_first(relays: &mut RelayFleet) -> bool {
    let before = relays.runs.len();
    for _ in 0..8 {
        relays.call(0, RelayCall::tool("bus"));
        relays.run_ms(2);
    }
    let mut runs = relays.runs[before..].iter();
    runs.any(|run| run.upstream == "tool-1")
}

/// Guards against calls after the notice, also when the entry expires and returns.
#[rstest]
fn entry_returns() {
    let mut relays = start();
    assert!(uses_first(&mut relays));
    relays.give_notice(0, "tool-1", FIRST_START_MS);
    assert!(!uses_first(&mut relays));
    let mut without = list(2, FIRST_START_MS);
    let is_other = |name: &str| name != "tool-1";
    without
        .upstreams
        .retain(|row| is_other(row.config.name.as_str()));
    relays.store.set_upstreams(without);
    relays.run_ms(1_500);
    relays.store.set_upstreams(list(3, FIRST_START_MS));
    relays.run_ms(1_500);
    assert!(!uses_first(&mut relays));
}

/// Guards against a notice that counts for the next process of the same name, whether it arrives
/// before or after the entry of that process.
#[rstest]
fn next_process(#[values(true, false)] is_late: bool) {
    let mut relays = start();
    if !is_late {
        relays.give_notice(0, "tool-1", FIRST_START_MS);
    }
    relays.store.set_upstreams(list(2, FIRST_START_MS + 1));
    relays.run_ms(1_500);
    if is_late {
        relays.give_notice(0, "tool-1", FIRST_START_MS);
    }
    assert!(uses_first(&mut relays));
}

/// Guards against a notice that is forgotten while its upstream is still listed.
#[rstest]
fn long_departure() {
    let mut relays = start();
    relays.give_notice(0, "tool-1", FIRST_START_MS);
    relays.run_ms(1_300_000);
    assert!(!uses_first(&mut relays));
}
