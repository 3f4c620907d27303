//! Guards against streams that callers take up again and that go on elsewhere than at upstreams of
//! the service and software version that began them.

use knapweeddale_core::tables::STREAM_LIFE_US;
use knapweeddale_core::{
    Backend, CallId, FleetConfig, ListedUpstream, RefusalKind, ServiceName, StreamOrigin,
    StreamStart, UpstreamList,
};
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, account, add_other_models, fleet, listed_engine, listed_upstream,
};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Streams that are taken up again.
const STREAMS: u64 = 12;

/// Time in which a placed stream ends, in milliseconds.
const RUN_MS: u64 = 1_000;

/// Returns the entry of an engine of another service.
fn other_engine(name: &str, version: &str) -> ListedUpstream {
    ListedUpstream {
        service: ServiceName::from("other-models"),
        ..listed_engine(name, version)
    }
}

/// Creates a list of these engines and a plain upstream.
fn list(revision: u64, mut engines: Vec<ListedUpstream>) -> UpstreamList {
    engines.push(listed_upstream("tool-1", "tools"));
    engines.sort_by(|a, b| a.config.name.cmp(&b.config.name));
    UpstreamList {
        revision,
        upstreams: engines,
    }
}

/// Creates a configuration whose streams go to two services with these weights.
fn config(revision: u64, weights: [u32; 2]) -> FleetConfig {
    let mut config = fleet(revision, vec![account("bus", 1_000, 1_000)]);
    add_other_models(&mut config);
    for route in &mut config.host_routes {
        if route.kind.is_stream() {
            route.backends = ["models", "other-models"]
                .into_iter()
                .zip(weights)
                .map(|(name, weight)| Backend {
                    service: ServiceName::from(name),
                    weight,
                })
                .collect();
        }
    }
    config
}

/// Starts a VM whose streams go to two services with these weights.
fn start(weights: [u32; 2], engines: Vec<ListedUpstream>, seed: u64) -> RelayFleet {
    let mut relays = RelayFleet::new(1, config(1, weights), list(1, engines), seed);
    relays.run_ms(3_000);
    relays
}

/// Returns an origin.
fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from(service),
        version: Some(version.into()),
    }
}

/// Sends calls that take streams up again.
fn take_up(relays: &mut RelayFleet, stream_start: &StreamStart) -> Vec<CallId> {
    (0..STREAMS)
        .map(|number| {
            let turn = RelayCall::turn("bus", &format!("p{number}"), 100_000, 40);
            let call = RelayCall {
                content: number as u8,
                stream_start: stream_start.clone(),
                ..turn
            };
            relays.call(0, call)
        })
        .collect()
}

/// Guards against a stream that goes on at another version, of which more upstreams serve.
#[rstest]
fn other_version() {
    let engines = [("a", "v1"), ("b", "v2"), ("c", "v2"), ("d", "v2")];
    let engines = engines.map(|(name, version)| listed_engine(name, version));
    for seed in seeds() {
        let mut relays = start([1, 0], engines.to_vec(), seed);
        let resumed = StreamStart::ResumedFrom(origin("models", "v1"));
        let streams = take_up(&mut relays, &resumed);
        relays.run_ms(RUN_MS);
        for stream in streams {
            assert_eq!(relays.upstreams_of(stream), ["a"], "seed {seed}: {stream}");
            assert!(relays.is_answered(stream), "seed {seed}: {stream}");
        }
    }
}

/// Guards against a stream that goes on at another service of its route, which a new request ID
/// selects.
#[rstest]
fn other_service() {
    let engines = vec![listed_engine("a", "v1"), other_engine("b", "v1")];
    for seed in seeds() {
        let mut relays = start([1, 1], engines.clone(), seed);
        for (service, engine) in [("models", "a"), ("other-models", "b")] {
            let resumed = StreamStart::ResumedFrom(origin(service, "v1"));
            let streams = take_up(&mut relays, &resumed);
            relays.run_ms(RUN_MS);
            for stream in streams {
                let used = relays.upstreams_of(stream);
                assert_eq!(used, [engine], "seed {seed}: {stream}");
            }
        }
    }
}

/// Guards against a stream that goes on at a service to which its route no longer leads, or at
/// the one that has replaced it.
#[rstest]
fn moved_route() {
    let engines = vec![listed_engine("a", "v1"), other_engine("b", "v1")];
    for seed in seeds() {
        let mut relays = start([1, 0], engines.clone(), seed);
        relays.store.publish(config(2, [0, 1]));
        relays.run_ms(3_000);
        let resumed = StreamStart::ResumedFrom(origin("models", "v1"));
        let streams = take_up(&mut relays, &resumed);
        relays.run_ms(RUN_MS);
        for stream in streams {
            let refusal = relays.refusal(stream);
            let expected = Some(RefusalKind::StreamNotResumable);
            assert!(refusal == expected, "seed {seed}: {stream} {refusal:?}");
            assert!(!relays.has_run(stream), "seed {seed}: {stream}");
        }
    }
}

/// Guards against streams that wait for a busy upstream of their version and keep new calls from
/// a free one of another version.
#[rstest]
fn busy_version() {
    let mut old = listed_engine("a", "v1");
    old.config.max_running_calls = 1;
    let engines = vec![old, listed_engine("b", "v2")];
    for seed in seeds() {
        let mut relays = start([1, 0], engines.clone(), seed);
        let resumed = StreamStart::ResumedFrom(origin("models", "v1"));
        let streams = take_up(&mut relays, &resumed);
        let new = relays.call(0, RelayCall::turn("bus", "new", 100_000, 40));
        relays.run_ms(50);
        assert_eq!(relays.upstreams_of(new), ["b"], "seed {seed}");
        relays.run_ms(2 * RUN_MS);
        for stream in streams {
            assert_eq!(relays.upstreams_of(stream), ["a"], "seed {seed}: {stream}");
        }
    }
}

/// Guards against a stream that is held until its time is over although its version is gone.
#[rstest]
fn version_gone() {
    for seed in seeds() {
        let mut relays = start([1, 0], vec![listed_engine("b", "v2")], seed);
        let resumed = StreamStart::ResumedFrom(origin("models", "v1"));
        let streams = take_up(&mut relays, &resumed);
        relays.run_ms(50);
        for stream in streams {
            let refusal = relays.refusal(stream);
            let expected = Some(RefusalKind::StreamNotResumable);
            assert!(refusal == expected, "seed {seed}: {stream} {refusal:?}");
        }
    }
}

/// Time after which a stream can no longer be taken up, in milliseconds.
const STREAM_LIFE_MS: u64 = STREAM_LIFE_US / 1_000;

/// Returns why calls that take up a stream of unknown origin were refused, and asserts that they
/// were all treated alike.
fn refusal_of_unknown(relays: &mut RelayFleet) -> Option<RefusalKind> {
    let streams = take_up(relays, &StreamStart::ResumedUnknown);
    relays.run_ms(RUN_MS);
    let refusal = relays.refusal(streams[0]);
    for stream in streams {
        assert_eq!(relays.refusal(stream), refusal);
        assert_eq!(relays.has_run(stream), refusal.is_none());
    }
    refusal
}

/// Guards against a stream of unknown origin that is placed although it may have begun at another
/// version, and against one that is refused although only one version has served.
#[rstest]
fn unknown_origin() {
    let refused = Some(RefusalKind::StreamNotResumable);
    let old = listed_engine("a", "v1");
    let new = listed_engine("b", "v2");
    for seed in seeds() {
        let mut relays = start([1, 0], vec![old.clone()], seed);
        // The VM has just started, so that another version may have served before.
        assert_eq!(refusal_of_unknown(&mut relays), refused, "seed {seed}");
        relays.run_ms(STREAM_LIFE_MS);
        assert_eq!(refusal_of_unknown(&mut relays), None, "seed {seed}");
        relays
            .store
            .set_upstreams(list(2, vec![old.clone(), new.clone()]));
        relays.run_ms(RUN_MS);
        assert_eq!(refusal_of_unknown(&mut relays), refused, "seed {seed}");
        relays.store.set_upstreams(list(3, vec![new.clone()]));
        relays.run_ms(STREAM_LIFE_MS / 2);
        assert_eq!(refusal_of_unknown(&mut relays), refused, "seed {seed}");
        relays.run_ms(STREAM_LIFE_MS);
        assert_eq!(refusal_of_unknown(&mut relays), None, "seed {seed}");
    }
}

/// Guards against a stream of unknown origin that goes on at the service to which its route was
/// moved, or at one of several.
#[rstest]
fn unknown_service() {
    let refused = Some(RefusalKind::StreamNotResumable);
    let engines = vec![listed_engine("a", "v1"), other_engine("b", "v1")];
    for seed in seeds() {
        let mut relays = start([1, 0], engines.clone(), seed);
        relays.run_ms(STREAM_LIFE_MS);
        assert_eq!(refusal_of_unknown(&mut relays), None, "seed {seed}");
        relays.store.publish(config(2, [0, 1]));
        relays.run_ms(STREAM_LIFE_MS / 2);
        assert_eq!(refusal_of_unknown(&mut relays), refused, "seed {seed}");
        relays.run_ms(STREAM_LIFE_MS);
        assert_eq!(refusal_of_unknown(&mut relays), None, "seed {seed}");
        relays.store.publish(config(3, [1, 1]));
        relays.run_ms(2 * STREAM_LIFE_MS);
        assert_eq!(refusal_of_unknown(&mut relays), refused, "seed {seed}");
    }
}

/// Guards against a VM that is cut off from the store and the other VMs, and takes an old list for
/// all versions that serve.
#[rstest]
fn old_list() {
    for seed in seeds() {
        let mut relays = start([1, 0], vec![listed_engine("a", "v1")], seed);
        relays.run_ms(STREAM_LIFE_MS);
        assert_eq!(refusal_of_unknown(&mut relays), None, "seed {seed}");
        relays.set_isolated(0, true);
        relays.run_ms(3_000);
        let refusal = refusal_of_unknown(&mut relays);
        let expected = Some(RefusalKind::StreamNotResumable);
        assert!(refusal == expected, "seed {seed}: {refusal:?}");
    }
}

/// Guards against a VM that is cut off from the others, or wakes up, with a list that is seconds old,
/// and takes a stream of a version that has joined since then for one of the only version it knows.
#[rstest]
fn joined_while_cut_off() {
    for seed in seeds() {
        let mut relays = start([1, 0], vec![listed_engine("a", "v1")], seed);
        relays.run_ms(STREAM_LIFE_MS);
        relays.set_isolated(0, true);
        let engines = vec![listed_engine("a", "v1"), listed_engine("b", "v2")];
        relays.store.set_upstreams(list(2, engines));
        relays.run_ms(RUN_MS);
        let streams = take_up(&mut relays, &StreamStart::ResumedUnverified);
        relays.run_ms(RUN_MS);
        for stream in streams {
            assert!(!relays.has_run(stream), "seed {seed}");
        }
    }
}
