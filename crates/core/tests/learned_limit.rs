//! Guards against a concurrency limit that rises beyond the batch size at which throughput stops
//! growing (the knee), leaves its bounds, or ignores calls from outside the fleet.

use knapweeddale_core::tables::{ConcurrencyLimit, LimitReason};
use knapweeddale_core::{Input, UpstreamName};
use knapweeddale_testing::fleet::{engine_call, engine_fleet};
use knapweeddale_testing::mesh::{BatchModel, Mesh};
use rstest::rstest;

/// Feeds a limit with load reports until it settles; `rate` gives the token rate by running calls.
fn settle(limit: &mut ConcurrencyLimit, rate: impl Fn(u32) -> u64) {
    for report in 0..4_000 {
        let now_us = report * 500_000;
        let _ = limit.record_load(now_us, limit.calls, rate(limit.calls));
    }
}

#[rstest]
#[case::knee_at_20(20)]
#[case::knee_at_40(40)]
fn climbs_to_the_knee(#[case] knee: u32) {
    let mut limit = ConcurrencyLimit::new(1, 64);
    limit.calls = 4;
    settle(&mut limit, |calls| u64::from(calls.min(knee)) * 60);
    // A step is an eighth; one that ends far past the knee is undone.
    assert!(
        limit.calls >= knee - knee / 8 && limit.calls <= knee + knee / 4,
        "{}",
        limit.calls
    );
}

#[test]
fn stays_within_its_bounds() {
    let mut limit = ConcurrencyLimit::new(2, 16);
    settle(&mut limit, |calls| u64::from(calls) * 60);
    assert_eq!(limit.calls, 16);
    for attempt in 0..10_000 {
        let reason = limit.record_token_time(attempt * 100_000, 90_000, 30_000);
        assert!(matches!(reason, None | Some(LimitReason::SlowTokens)));
    }
    assert_eq!(limit.calls, 2);
}

#[test]
fn unreached_limit_stays() {
    let mut limit = ConcurrencyLimit::new(1, 64);
    let before = limit.calls;
    for report in 0..1_000 {
        assert_eq!(limit.record_load(report * 500_000, before - 1, 1_000), None);
    }
    assert_eq!(limit.calls, before);
}

#[test]
fn slow_tokens_lower_limit() {
    let mut fleet = engine_fleet(1, 200, 1);
    fleet.services[0].upstreams[0].min_running_calls = 2;
    let mut mesh = Mesh::new(1, fleet, 1);
    // Tokens are due every 30 ms; with the 100 calls of the initial limit they take far longer.
    mesh.use_batches(BatchModel {
        max_calls: 200,
        ..BatchModel::default()
    });
    mesh.run_ms(100);
    for content in 0..4_000 {
        mesh.call(0, engine_call(0, content, 10, 100));
        mesh.run_ms(40);
    }
    let control = mesh.control(0).expect("VM runs");
    let limits = control
        .tables()
        .upstreams
        .iter()
        .map(|(_, row)| row.limit.calls);
    let limits: Vec<u32> = limits.collect();
    // The knee is at 24 calls; at 40 calls, a token takes about 40 ms.
    assert!((16..=40).contains(&limits[0]), "{limits:?}");
}

#[test]
fn foreign_calls_count() {
    let mut mesh = Mesh::new(1, engine_fleet(2, 8, 1), 1);
    mesh.run_ms(100);
    // Another front end keeps the first engine full.
    let load = Input::Load {
        upstream: UpstreamName::from("engine-0"),
        running_calls: 8,
        tokens_per_s: 100,
    };
    mesh.input(0, load);
    mesh.run_ms(10);
    for content in 0..4 {
        mesh.call(0, engine_call(0, content, 10, 100));
    }
    mesh.run_ms(10);
    let control = mesh.control(0).expect("VM runs");
    let rows: Vec<_> = control.tables().upstreams.iter().collect();
    assert_eq!((rows[0].1.foreign_calls, rows[0].1.attempts.len()), (8, 0));
    assert_eq!(rows[1].1.attempts.len(), 4);
}
