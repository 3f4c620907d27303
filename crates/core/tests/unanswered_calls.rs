//! Guards against calls that are neither answered nor refused before their callers give up.

use knapweeddale_core::{CallId, FleetConfig, UpstreamList};
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, account, fleet, listed_upstream, upstreams,
};
use knapweeddale_testing::{Random, seeds};
use rstest::rstest;

/// Time after a call's deadline until which it has to be refused.
const REFUSAL_SLACK_MS: u64 = 250;

/// Returns the calls that were neither answered nor refused.
fn unanswered(relays: &RelayFleet, calls: &[CallId]) -> Vec<CallId> {
    let has_ended = |call: &CallId| relays.is_answered(*call) || relays.refusal(*call).is_some();
    calls
        .iter()
        .filter(|call| !has_ended(call))
        .copied()
        .collect()
}

/// Guards against a turn that waits without a time limit because its VM has restarted and the
/// store does not tell it which programs ran before.
#[rstest]
fn unknown_programs() {
    for seed in seeds() {
        let mut relays = RelayFleet::new(
            1,
            fleet(1, vec![account("bus", 100, 100)]),
            upstreams(1),
            seed,
        );
        relays.run_ms(3_000);
        relays.kill(0);
        relays.restart(0);
        relays.run_ms(100);
        assert!(relays.is_ready(0));
        relays.store.set_down(true);
        let turn = RelayCall::turn("bus", "p", 1_000, 40);
        let timeout_ms = turn.timeout_ms;
        let call = relays.call(0, turn);
        relays.run_ms(timeout_ms + REFUSAL_SLACK_MS);
        assert_eq!(unanswered(&relays, &[call]), [], "seed {seed}");
    }
}

/// Returns a configuration from which some routes, services and accounts may be missing.
fn changed_fleet(revision: u64, random: &mut Random) -> FleetConfig {
    let accounts = ["bus", "tram"].map(|name| account(name, 1_000, 1_000));
    let mut config = fleet(revision, accounts.to_vec());
    config.accounts.retain(|_| !random.per_mille(150));
    config.host_routes.retain(|_| !random.per_mille(150));
    config.services.retain(|_| !random.per_mille(150));
    for route in &mut config.host_routes {
        if random.per_mille(200) {
            route.timeout_ms = random.between(300, 3_000);
        }
        if random.per_mille(100) {
            route.backends[0].service = "tools".into();
        }
    }
    config
}

/// Returns a list from which some upstreams are missing, and in which some are leaving.
fn changed_upstreams(revision: u64, random: &mut Random) -> UpstreamList {
    let mut list = upstreams(revision);
    let started_unix_ms = random.between(1, 3);
    list.upstreams.push(listed_upstream("engine-3", "models"));
    list.upstreams.retain(|_| !random.per_mille(200));
    for row in &mut list.upstreams {
        row.config.leaving = random.per_mille(200);
        row.config.started_unix_ms = started_unix_ms;
        row.config.max_running_calls = random.between(1, 8) as u32;
    }
    list
}

/// Sends one call of each kind.
fn send_calls(relays: &mut RelayFleet, round: u64, random: &mut Random) -> Vec<CallId> {
    let name = if random.per_mille(500) { "bus" } else { "tram" };
    let program = format!("p{}", random.below(20));
    let turn = RelayCall::turn(name, &program, 2_000, 40);
    let pay = RelayCall {
        path: "/pay/x".to_owned(),
        ..RelayCall::tool(name)
    };
    [turn, RelayCall::tool(name), pay]
        .into_iter()
        .map(|call| {
            let call = RelayCall {
                run_ms: random.between(10, 800),
                content: (round % 250) as u8,
                ..call
            };
            relays.call(0, call)
        })
        .collect()
}

/// Guards against a call that is forgotten when the configuration or the upstreams change, while
/// connections break and the store fails.
#[rstest]
fn changed_configuration() {
    for seed in seeds() {
        let mut random = Random::new(seed);
        let accounts = vec![account("bus", 1_000, 1_000), account("tram", 1_000, 1_000)];
        let mut relays = RelayFleet::new(2, fleet(1, accounts), upstreams(1), seed);
        relays.run_ms(3_000);
        let mut calls = Vec::new();
        for round in 2..400 {
            calls.extend(send_calls(&mut relays, round, &mut random));
            match random.below(12) {
                0 | 1 => relays.store.publish(changed_fleet(round, &mut random)),
                2 | 3 => relays
                    .store
                    .set_upstreams(changed_upstreams(round, &mut random)),
                4 => relays.reset_connections(0, None, 60),
                5 => relays.silence_connections(0, None),
                6 => relays.store.set_down(true),
                7 | 8 => relays.store.set_down(false),
                _ => {}
            }
            relays.run_ms(random.between(5, 60));
        }
        relays.run_ms(6_000);
        assert_eq!(unanswered(&relays, &calls), [], "seed {seed}");
    }
}
