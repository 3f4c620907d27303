//! Guards against a VM that missed a software version while it was cut off, and takes a stream that
//! began there for one of the version that it knows.

use knapweeddale_core::tables::STREAM_LIFE_US;
use knapweeddale_core::{RefusalKind, StreamStart, UpstreamList};
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, account, fleet, listed_engine, listed_upstream,
};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Creates a list of engines, given by name and version.
fn list(revision: u64, engines: &[(&str, &str)]) -> UpstreamList {
    let engines = engines.iter();
    let mut upstreams: Vec<_> = engines
        .map(|(name, version)| listed_engine(name, version))
        .collect();
    upstreams.push(listed_upstream("tool-1", "tools"));
    UpstreamList {
        revision,
        upstreams,
    }
}

/// Guards against a stream of unknown origin that is placed by a VM which was cut off from the store
/// and the other VMs a moment before, while another version came and went.
#[rstest]
fn cut_off() {
    for seed in seeds() {
        let config = fleet(1, vec![account("bus", 1_000, 1_000)]);
        let mut relays = RelayFleet::new(1, config, list(1, &[("a", "v1")]), seed);
        relays.run_ms(STREAM_LIFE_US / 1_000 + 4_000);
        relays.set_isolated(0, true);
        let both = list(2, &[("a", "v1"), ("b", "v2")]);
        relays.store.set_upstreams(both);
        relays.run_ms(5_000);
        relays.store.set_upstreams(list(3, &[("a", "v1")]));
        relays.set_isolated(0, false);
        relays.run_ms(3_000);
        let call = RelayCall {
            stream_start: StreamStart::ResumedUnknown,
            ..RelayCall::turn("bus", "p", 100_000, 40)
        };
        let stream = relays.call(0, call);
        relays.run_ms(1_000);
        assert_eq!(
            relays.refusal(stream),
            Some(RefusalKind::StreamNotResumable),
            "seed {seed}: ran on {:?}",
            relays.upstreams_of(stream)
        );
    }
}
