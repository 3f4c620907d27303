//! Guards against silence that costs a sound upstream or a call that it would have answered.

use std::collections::BTreeSet;

use knapweeddale_core::{CallId, UpstreamList};
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, account, fleet, listed_upstream, upstreams,
};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Starts a VM with this list.
fn start(list: UpstreamList, seed: u64) -> RelayFleet {
    let accounts = vec![account("bus", 1_000, 1_000)];
    let mut relays = RelayFleet::new(1, fleet(1, accounts), list, seed);
    relays.run_ms(3_000);
    relays
}

/// Creates a call to the plain service that runs for a time.
fn slow_call(run_ms: u64) -> RelayCall {
    RelayCall {
        run_ms,
        timeout_ms: 10_000,
        ..RelayCall::tool("bus")
    }
}

/// Guards against one slow call that ejects a sound upstream, because each of its reports of
/// silence counts as a failure of the upstream.
#[rstest]
fn slow_call_ejects() {
    for seed in seeds() {
        let mut relays = start(upstreams(1), seed);
        relays.call(0, slow_call(10_000));
        for _ in 0..8 {
            relays.run_ms(410);
            relays.pause_upstream(0, None);
        }
        relays.run_ms(20);
        let calls: Vec<CallId> = (0..20)
            .map(|_| relays.call(0, RelayCall::tool("bus")))
            .collect();
        relays.run_ms(500);
        let used: BTreeSet<&str> = calls
            .iter()
            .flat_map(|call| relays.upstreams_of(*call))
            .collect();
        assert_eq!(used.len(), 2, "seed {seed}: only {used:?}");
    }
}

/// Guards against a call that leaves its sound upstream although the only other one has no room.
#[rstest]
fn other_is_full() {
    for seed in seeds() {
        let mut rows = vec![
            listed_upstream("engine-1", "models"),
            listed_upstream("tool-1", "tools"),
            listed_upstream("tool-2", "tools"),
        ];
        rows[1].config.max_running_calls = 1;
        rows[2].config.max_running_calls = 1;
        let list = |revision, upstreams| UpstreamList {
            revision,
            upstreams,
        };
        let mut relays = start(list(1, rows.clone()), seed);
        // The second call keeps its upstream busy for longer than the first one may wait.
        let calls = [2_400, 9_000].map(|run_ms| relays.call(0, slow_call(run_ms)));
        relays.run_ms(20);
        let first = relays.upstreams_of(calls[0])[0].to_owned();
        for row in &mut rows {
            row.config.leaving = row.config.name.as_str() == first;
        }
        relays.store.set_upstreams(list(2, rows));
        relays.run_ms(1_200);
        relays.pause_upstream(0, Some(&first));
        relays.run_ms(4_000);
        let refusal = relays.refusal(calls[0]);
        assert!(
            relays.is_answered(calls[0]),
            "seed {seed}: {refusal:?}, ran on {:?}",
            relays.upstreams_of(calls[0])
        );
    }
}
