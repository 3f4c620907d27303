//! Guards against streams that end because their sound upstream sends nothing for a while.

use knapweeddale_core::CallId;
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, upstreams};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Streams that run when the upstreams pause.
const STREAMS: u64 = 12;

/// Retries that the budget of a pool allows after few calls.
const MIN_RETRIES: usize = 3;

/// How long the streams run, in milliseconds.
const RUN_MS: u64 = 2_400;

/// Starts a VM and the streams; each route of streams allows one upstream.
fn start(seed: u64) -> (RelayFleet, Vec<CallId>) {
    let accounts = vec![account("bus", 1_000, 1_000)];
    let mut relays = RelayFleet::new(1, fleet(1, accounts), upstreams(1), seed);
    relays.run_ms(3_000);
    let streams = (0..STREAMS)
        .map(|number| {
            let turn = RelayCall::turn("bus", &format!("p{number}"), 100_000, 40);
            relays.call(
                0,
                RelayCall {
                    run_ms: RUN_MS,
                    content: number as u8,
                    ..turn
                },
            )
        })
        .collect();
    relays.run_ms(RUN_MS / 3);
    (relays, streams)
}

/// Guards against streams that break off because the retry budget is used up.
#[rstest]
fn budget_used_up() {
    for seed in seeds() {
        let (mut relays, streams) = start(seed);
        relays.pause_upstream(0, None);
        relays.run_ms(2 * RUN_MS);
        for stream in &streams {
            assert!(relays.is_answered(*stream), "seed {seed}: {stream}");
        }
        assert!(
            relays.runs.len() <= streams.len() + MIN_RETRIES,
            "seed {seed}"
        );
    }
}

/// Guards against streams that break off because their only upstream is leaving, so that they
/// can't go on there over another connection.
#[rstest]
fn leaving_upstream() {
    for seed in seeds() {
        let (mut relays, streams) = start(seed);
        let mut list = upstreams(2);
        for row in &mut list.upstreams {
            row.config.leaving = true;
        }
        relays.store.set_upstreams(list);
        relays.run_ms(RUN_MS / 2);
        relays.pause_upstream(0, None);
        relays.run_ms(RUN_MS);
        for stream in &streams {
            assert!(relays.is_answered(*stream), "seed {seed}: {stream}");
        }
        assert_eq!(relays.runs.len(), streams.len(), "seed {seed}");
    }
}
