//! Guards against wrong placement in pools with more upstreams than placement compares for a call.

use knapweeddale_core::UpstreamList;
use knapweeddale_testing::relays::{RelayCall, RelayFleet, account, fleet, listed_upstream};
use rstest::rstest;

/// Starts VMs with many upstreams of both services.
fn start() -> RelayFleet {
    let rows = (0..24).flat_map(|number| {
        [
            listed_upstream(&format!("engine-{number:02}"), "models"),
            listed_upstream(&format!("tool-{number:02}"), "tools"),
        ]
    });
    let mut list = UpstreamList {
        revision: 1,
        upstreams: rows.collect(),
    };
    list.upstreams
        .sort_by(|a, b| a.config.name.cmp(&b.config.name));
    let config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    let mut relays = RelayFleet::new(3, config, list, 1);
    relays.run_ms(3_000);
    relays
}

/// Guards against tool calls that are sent to the engine of their program.
#[rstest]
fn tools_of_program() {
    let mut relays = start();
    for round in 0..10 {
        relays.call(round % 3, RelayCall::turn("bus", "tour", 90_000, 100));
        relays.run_ms(300);
        let mut tool = RelayCall::tool("bus");
        tool.program = Some("tour".to_owned());
        let id = relays.call(round % 3, tool);
        relays.run_ms(300);
        let run = relays.runs.iter().find(|run| run.call == id);
        let upstream = &run.expect("a call that ran").upstream;
        assert!(upstream.starts_with("tool-"), "{upstream}");
    }
}

/// Guards against turns that are placed away from the engine that has their prompt cached.
#[rstest]
fn cached_prompt() {
    let mut relays = start();
    relays.call(0, RelayCall::turn("bus", "tour", 90_000, 100));
    relays.run_ms(500);
    for vm in [0, 1, 2, 0] {
        relays.call(vm, RelayCall::turn("bus", "tour", 90_000, 100));
        relays.run_ms(500);
    }
    let first = &relays.runs[0].upstream;
    assert!(relays.runs.iter().all(|run| run.upstream == *first));
}
