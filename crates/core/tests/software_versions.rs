//! Guards against streams that are joined from the output of two software versions.

use std::collections::BTreeSet;

use knapweeddale_core::{CallId, ListedUpstream, RefusalKind, UpstreamList};
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, account, fleet, listed_engine, listed_upstream,
};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Streams that run when a fault begins.
const STREAMS: u64 = 12;

/// How long these streams run, in milliseconds.
const RUN_MS: u64 = 400;

/// Time until the first event of a stream has been forwarded, in milliseconds.
const FIRST_EVENT_MS: u64 = RUN_MS / 4;

/// Longest time from a fault to the next attempt of a call, in milliseconds.
const RECOVERY_MS: u64 = 1_500;

/// Time in which a probe finds that an upstream has crashed, in milliseconds.
const PROBE_MS: u64 = 50;

/// Upstreams of a pool that is too large to compare all of them.
const MANY_ENGINES: u64 = 40;

/// Returns the version of an engine, which its name ends with.
fn version_of(engine: &str) -> &str {
    engine.rsplit('-').next().expect("a version")
}

/// Creates a list of engines whose names end with their versions, and one plain upstream.
fn engines(revision: u64, names: &[String]) -> UpstreamList {
    let mut upstreams: Vec<ListedUpstream> = names
        .iter()
        .map(|name| listed_engine(name, version_of(name)))
        .collect();
    upstreams.push(listed_upstream("tool-1", "tools"));
    upstreams.sort_by(|a, b| a.config.name.cmp(&b.config.name));
    UpstreamList {
        revision,
        upstreams,
    }
}

/// Converts names to owned ones.
fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

/// Starts two VMs with these engines.
fn start(engine_names: &[String], max_attempts: u32, seed: u64) -> RelayFleet {
    let mut config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    for route in &mut config.host_routes {
        route.max_attempts = max_attempts;
    }
    let mut relays = RelayFleet::new(2, config, engines(1, engine_names), seed);
    relays.run_ms(3_000);
    relays
}

/// Sends streams to the first VM, each with a content of its own.
fn send_streams(relays: &mut RelayFleet) -> Vec<CallId> {
    (0..STREAMS)
        .map(|number| {
            let turn = RelayCall::turn("bus", &format!("p{number}"), 100_000, 40);
            let call = RelayCall {
                run_ms: RUN_MS,
                content: number as u8,
                ..turn
            };
            relays.call(0, call)
        })
        .collect()
}

/// Returns the versions of the engines to which a call was sent.
fn versions_of(relays: &RelayFleet, call: CallId) -> BTreeSet<&str> {
    let engines = relays.upstreams_of(call);
    engines.into_iter().map(version_of).collect()
}

/// Checks that a stream ran at one version only.
fn check_one_version(relays: &RelayFleet, stream: CallId, seed: u64) {
    let versions = versions_of(relays, stream);
    assert!(versions.len() == 1, "seed {seed}: {stream} at {versions:?}");
}

/// Crashes every engine that runs one of the calls and has this version.
fn crash_version(relays: &mut RelayFleet, calls: &[CallId], version: &str) {
    let running: BTreeSet<String> = calls
        .iter()
        .filter_map(|call| relays.upstreams_of(*call).last().copied())
        .filter(|engine| version_of(engine) == version)
        .map(str::to_owned)
        .collect();
    for engine in running {
        relays.crash_upstream(&engine);
    }
}

/// Guards against a stream that goes on at another version after its engine has crashed.
#[rstest]
fn crashed_engine(#[values(1, 3)] max_attempts: u32) {
    let engine_names = names(&["a-v1", "b-v1", "c-v2", "d-v2"]);
    for seed in seeds() {
        let mut relays = start(&engine_names, max_attempts, seed);
        let streams = send_streams(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        relays.crash_upstream("a-v1");
        relays.crash_upstream("c-v2");
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for stream in streams {
            assert!(relays.is_answered(stream), "seed {seed}: {stream}");
            check_one_version(&relays, stream, seed);
        }
    }
}

/// Guards against a stream that goes on at the version that replaces its own one.
#[rstest]
fn replaced_version() {
    for seed in seeds() {
        let mut relays = start(&names(&["a-v1"]), 1, seed);
        let streams = send_streams(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        relays
            .store
            .set_upstreams(engines(2, &names(&["a-v1", "b-v2"])));
        relays.run_ms(100);
        relays.crash_upstream("a-v1");
        relays.run_ms(RUN_MS + RECOVERY_MS);
        relays.store.set_upstreams(engines(3, &names(&["b-v2"])));
        relays.run_ms(RECOVERY_MS);
        for stream in streams {
            check_one_version(&relays, stream, seed);
            assert!(relays.refusal(stream).is_some(), "seed {seed}: {stream}");
        }
    }
}

/// Guards against a stream that goes on at its upstream after that has restarted with another
/// version under the same name.
#[rstest]
fn same_name() {
    for seed in seeds() {
        let mut relays = start(&names(&["a-v1"]), 1, seed);
        let streams = send_streams(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        relays.crash_upstream("a-v1");
        relays.run_ms(PROBE_MS);
        let mut list = engines(2, &names(&["a-v1"]));
        let engine = &mut list.upstreams[0].config;
        engine.software_version = Some("v2".into());
        engine.started_unix_ms += 1;
        relays.store.set_upstreams(list);
        relays.set_upstream_state("a-v1", None);
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for stream in streams {
            let runs = relays.upstreams_of(stream).len();
            assert!(runs == 1, "seed {seed}: {stream} ran {runs} times");
        }
    }
}

/// Guards against a stream that waits until its time is over although no upstream of its version
/// is left.
#[rstest]
fn version_gone() {
    for seed in seeds() {
        let mut relays = start(&names(&["a-v1", "b-v2"]), 1, seed);
        let streams = send_streams(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        relays.store.set_upstreams(engines(2, &names(&["b-v2"])));
        relays.crash_upstream("a-v1");
        relays.run_ms(RECOVERY_MS);
        let began_at_v1 =
            |stream: &CallId| versions_of(&relays, *stream).first().copied() == Some("v1");
        for stream in streams.iter().copied().filter(began_at_v1) {
            let refusal = relays.refusal(stream);
            let expected = Some(RefusalKind::StreamNotResumable);
            assert!(refusal == expected, "seed {seed}: {stream} {refusal:?}");
        }
    }
}

/// Guards against a stream without any event that is kept at the version of its first attempt.
#[rstest]
fn before_first_event() {
    for seed in seeds() {
        let mut relays = start(&names(&["a-v1", "b-v2"]), 3, seed);
        let streams = send_streams(&mut relays);
        relays.run_ms(FIRST_EVENT_MS / 2);
        relays.crash_upstream("a-v1");
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for stream in streams {
            assert!(relays.is_answered(stream), "seed {seed}: {stream}");
        }
    }
}

/// Guards against a large pool in which a stream does not find the upstreams of its version, or
/// goes on at another one.
#[rstest]
fn large_pool() {
    let engine_names: Vec<String> = (0..MANY_ENGINES)
        .map(|number| format!("e{number:02}-v{}", if number % 10 == 0 { 1 } else { 2 }))
        .collect();
    for seed in seeds() {
        let mut relays = start(&engine_names, 1, seed);
        let streams = send_streams(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        let first = relays.upstreams_of(streams[0]).last().copied();
        let first = first.expect("a running stream").to_owned();
        relays.crash_upstream(&first);
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for stream in streams {
            assert!(relays.is_answered(stream), "seed {seed}: {stream}");
            check_one_version(&relays, stream, seed);
        }
    }
}

/// Guards against a stream that goes on at another version because its response became invalid
/// instead of breaking off.
#[rstest]
fn invalid_response() {
    for seed in seeds() {
        let mut relays = start(&names(&["a-v1", "b-v2"]), 1, seed);
        let streams = send_streams(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        relays.spoil_responses(0, Some("a-v1"));
        relays.crash_upstream("a-v1");
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for stream in streams {
            check_one_version(&relays, stream, seed);
        }
    }
}

/// Guards against a suspect content that must run alone and gets an upstream of another version.
#[rstest]
fn exclusive_run() {
    let engine_names = names(&[
        "a-v1", "b-v2", "c-v1", "d-v2", "e-v1", "f-v2", "g-v1", "h-v2",
    ]);
    for seed in seeds() {
        let mut relays = start(&engine_names, 3, seed);
        let turn = RelayCall::turn("bus", "p", 100_000, 40);
        let stream = relays.call(
            0,
            RelayCall {
                run_ms: RUN_MS,
                ..turn
            },
        );
        for _ in 0..2 {
            relays.run_ms(FIRST_EVENT_MS * 2);
            let engine = relays.upstreams_of(stream).last().copied();
            let engine = engine.expect("a running stream").to_owned();
            relays.crash_upstream(&engine);
        }
        relays.run_ms(RUN_MS + RECOVERY_MS);
        assert!(relays.is_answered(stream), "seed {seed}");
        check_one_version(&relays, stream, seed);
    }
}

/// Guards against a VM that has lost its pool's upstreams and places a stream at another version
/// when one of them is back.
#[rstest]
fn late_return() {
    for seed in seeds() {
        let mut relays = start(&names(&["a-v1", "b-v2"]), 1, seed);
        let streams = send_streams(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        crash_version(&mut relays, &streams, "v1");
        crash_version(&mut relays, &streams, "v2");
        relays.run_ms(RECOVERY_MS / 2);
        relays.set_upstream_state("b-v2", None);
        relays.run_ms(RECOVERY_MS);
        for stream in streams {
            check_one_version(&relays, stream, seed);
        }
    }
}
