//! Guards against a stream of unknown origin that goes on at another service because the route that
//! began it was removed or a longer one was added.

use std::sync::Arc;

use knapweeddale_core::tables::STREAM_LIFE_US;
use knapweeddale_core::{
    Backend, FleetConfig, HostRoute, ListedUpstream, RefusalKind, ServiceName, StreamStart,
    UpstreamList,
};
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, account, add_other_models, fleet, listed_engine,
};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Time after which a stream can no longer be taken up, in milliseconds.
const STREAM_LIFE_MS: u64 = STREAM_LIFE_US / 1_000;

/// Creates a configuration in which `/chat/deep/` leads to another service than `/chat/`, if it is
/// there.
fn config(revision: u64, has_deep: bool) -> FleetConfig {
    let mut config = fleet(revision, vec![account("bus", 1_000, 1_000)]);
    add_other_models(&mut config);
    let chat = config
        .host_routes
        .iter()
        .find(|row| &*row.path_prefix == "/chat/");
    let deep = HostRoute {
        name: Arc::from("deep"),
        path_prefix: Arc::from("/chat/deep/"),
        backends: [Backend {
            service: ServiceName::from("other-models"),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        ..chat.expect("a route of streams").clone()
    };
    if has_deep {
        config.host_routes.push(deep);
    }
    config
}

/// Guards against a stream that goes on at the service of the shorter prefix after the route that
/// began it was removed.
#[rstest]
fn removed_route() {
    for seed in seeds() {
        let other = ListedUpstream {
            service: ServiceName::from("other-models"),
            ..listed_engine("b", "v1")
        };
        let list = UpstreamList {
            revision: 1,
            upstreams: vec![listed_engine("a", "v1"), other],
        };
        let mut relays = RelayFleet::new(1, config(1, true), list, seed);
        relays.run_ms(STREAM_LIFE_MS + 4_000);
        relays.store.publish(config(2, false));
        relays.run_ms(3_000);
        let turn = RelayCall::turn("bus", "p", 100_000, 40);
        let call = RelayCall {
            path: "/chat/deep/x".to_owned(),
            stream_start: StreamStart::ResumedUnknown,
            ..turn
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
