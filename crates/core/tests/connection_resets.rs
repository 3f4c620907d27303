//! Guards against reset connections that are taken for a crash of their upstream.
//!
//! A network fault may reset many or all connections of a VM in the same millisecond while the
//! upstreams go on. A call that is confined to an upstream must then not run on another one.

use std::collections::BTreeSet;

use knapweeddale_core::config::RouteKind;
use knapweeddale_core::{CallId, Execution};
use knapweeddale_testing::relays::{
    RelayCall, RelayFleet, UpstreamState, account, fleet, upstreams,
};
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Calls of each kind that run when the connections are reset.
const CALLS: u64 = 12;

/// Calls of each kind that have ended before.
const EARLIER_CALLS: u64 = 100;

/// How long these calls run, in milliseconds.
const RUN_MS: u64 = 400;

/// Time until the first event of a stream has been forwarded, in milliseconds.
const FIRST_EVENT_MS: u64 = RUN_MS / 4;

/// Longest time from a fault to the next attempt of a call, in milliseconds.
const RECOVERY_MS: u64 = 1_000;

/// Starts two VMs with one account; routes of streams and lookups allow `max_attempts` upstreams.
fn start(seed: u64, max_attempts: u32) -> RelayFleet {
    let mut config = fleet(1, vec![account("bus", 1_000, 1_000)]);
    for route in &mut config.host_routes {
        if route.kind != RouteKind::NonIdempotent {
            route.max_attempts = max_attempts;
        }
    }
    let mut relays = RelayFleet::new(2, config, upstreams(1), seed);
    relays.run_ms(3_000);
    // The retry budget is a part of the calls of the last seconds.
    for number in 0..EARLIER_CALLS {
        let turn = RelayCall::turn("bus", &format!("earlier-{number}"), 100_000, 40);
        relays.call(0, RelayCall { run_ms: 10, ..turn });
        relays.call(0, RelayCall::tool("bus"));
        relays.run_ms(20);
    }
    relays
}

/// Sends calls of one kind to the first VM.
fn send(relays: &mut RelayFleet, call: impl Fn(u64) -> RelayCall) -> Vec<CallId> {
    (0..CALLS)
        .map(|number| {
            let call = RelayCall {
                run_ms: RUN_MS,
                content: number as u8,
                ..call(number)
            };
            relays.call(0, call)
        })
        .collect()
}

/// Sends turns, each of a program of its own.
fn send_turns(relays: &mut RelayFleet) -> Vec<CallId> {
    send(relays, |number| {
        RelayCall::turn("bus", &format!("p{number}"), 100_000, 40)
    })
}

/// Sends payments, which must not run twice.
fn send_payments(relays: &mut RelayFleet) -> Vec<CallId> {
    send(relays, |_| RelayCall {
        path: "/pay/x".to_owned(),
        ..RelayCall::tool("bus")
    })
}

/// Returns the number of upstreams on which a call ran.
fn count_upstreams(relays: &RelayFleet, call: CallId) -> usize {
    let names: BTreeSet<&str> = relays.upstreams_of(call).into_iter().collect();
    names.len()
}

/// Guards against a stream that goes on at another upstream although its own one lives.
#[rstest]
fn streams_stay(
    #[values(50, 100)] percent: u64,
    #[values(1, 2)] max_attempts: u32,
    #[values(FIRST_EVENT_MS / 2, FIRST_EVENT_MS * 2)] after_ms: u64,
) {
    for seed in seeds() {
        let mut relays = start(seed, max_attempts);
        let turns = send_turns(&mut relays);
        relays.run_ms(after_ms);
        relays.reset_connections(0, None, percent);
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for turn in turns {
            assert!(relays.is_answered(turn), "seed {seed}: {turn}");
            let used = count_upstreams(&relays, turn);
            assert!(
                used <= max_attempts as usize,
                "seed {seed}: {turn} on {used}"
            );
        }
    }
}

/// Guards against a stream that changes its upstream when connections are reset again and again.
#[rstest]
fn repeated_resets() {
    for seed in seeds() {
        let mut relays = start(seed, 1);
        let turns = send_turns(&mut relays);
        // The last reset comes when a time limit that the first one started would end.
        for pause_ms in [50, 5, 300, 550, 90] {
            relays.run_ms(pause_ms);
            relays.reset_connections(0, None, 100);
        }
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for turn in turns {
            assert!(count_upstreams(&relays, turn) == 1, "seed {seed}: {turn}");
        }
    }
}

/// Guards against contents that are suspected of a crash because they ran when connections broke.
#[rstest]
fn no_suspects() {
    for seed in seeds() {
        let mut relays = start(seed, 1);
        send_turns(&mut relays);
        relays.run_ms(FIRST_EVENT_MS / 2);
        relays.reset_connections(0, None, 100);
        relays.run_ms(RECOVERY_MS);
        let tables = relays.control(0).tables();
        assert!(tables.suspects.is_empty(), "seed {seed}");
        for (name, row) in tables.upstreams.iter() {
            let has_crashed = row.health.has_crashed_recently(relays.now_us());
            assert!(!has_crashed, "seed {seed}: {name}");
        }
    }
}

/// Guards against a payment that runs twice, or whose refusal states that it did not run.
#[rstest]
fn payments_run_once(#[values(50, 100)] percent: u64) {
    for seed in seeds() {
        let mut relays = start(seed, 3);
        let payments = send_payments(&mut relays);
        relays.run_ms(RUN_MS / 2);
        relays.reset_connections(0, None, percent);
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for payment in payments {
            assert_eq!(relays.upstreams_of(payment).len(), 1, "seed {seed}");
            let mut refusals = relays.refusals.iter();
            let refusal = refusals.find(|(_, refusal)| refusal.call == payment);
            let ran = refusal.map(|(_, refusal)| refusal.ran);
            let is_honest = ran.is_none_or(|ran| ran == Execution::MayHaveRun);
            assert!(is_honest, "seed {seed}: {payment}");
            assert!(refusal.is_some() || relays.is_answered(payment));
        }
    }
}

/// Guards against a lookup that fails because its connection was reset.
#[rstest]
fn lookups_succeed() {
    for seed in seeds() {
        let mut relays = start(seed, 2);
        let lookups = send(&mut relays, |_| RelayCall::tool("bus"));
        relays.run_ms(RUN_MS / 2);
        relays.reset_connections(0, None, 100);
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for lookup in lookups {
            assert!(relays.is_answered(lookup), "seed {seed}: {lookup}");
        }
    }
}

/// Guards against a lookup that runs again and again because each of its connections breaks.
#[rstest]
#[case(1, 2)]
#[case(2, 2)]
#[case(3, 3)]
fn lookup_runs_are_limited(#[case] max_attempts: u32, #[case] max_runs: usize) {
    for seed in seeds() {
        let mut relays = start(seed, max_attempts);
        let lookups = send(&mut relays, |_| RelayCall::tool("bus"));
        for _ in 0..20 {
            relays.run_ms(10);
            relays.reset_connections(0, None, 100);
        }
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for lookup in lookups {
            let runs = relays.upstreams_of(lookup).len();
            assert!(runs <= max_runs, "seed {seed}: {lookup} ran {runs} times");
        }
    }
}

/// Guards against a crash that is taken for a reset, and against a reset that counts as a crash
/// because another upstream crashed in the same second.
#[rstest]
fn crash_during_resets() {
    for seed in seeds() {
        let mut relays = start(seed, 1);
        let turns = send_turns(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        let first = |relays: &RelayFleet, turn| relays.upstreams_of(turn)[0].to_owned();
        let placed: Vec<String> = turns.iter().map(|turn| first(&relays, *turn)).collect();
        relays.crash_upstream("engine-1");
        relays.reset_connections(0, None, 100);
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for (turn, upstream) in turns.into_iter().zip(placed) {
            assert!(
                relays.is_answered(turn),
                "seed {seed}: {turn} of {upstream}"
            );
            let used = relays.upstreams_of(turn);
            let last = used.last().expect("a turn that ran");
            assert_eq!(*last, "engine-2", "seed {seed}: {turn}");
        }
    }
}

/// Guards against a stream that waits for an upstream which is cut off without a reset.
#[rstest]
fn cut_off_upstream() {
    for seed in seeds() {
        let mut relays = start(seed, 1);
        let turns = send_turns(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        relays.set_upstream_state("engine-1", Some(UpstreamState::Silent));
        relays.silence_connections(0, Some("engine-1"));
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for turn in turns {
            assert!(relays.is_answered(turn), "seed {seed}: {turn}");
        }
    }
}

/// Guards against a stream that changes its upstream because a connection went silent for good
/// while new ones work.
#[rstest]
fn silent_connections() {
    for seed in seeds() {
        let mut relays = start(seed, 1);
        let turns = send_turns(&mut relays);
        relays.run_ms(FIRST_EVENT_MS * 2);
        relays.silence_connections(0, None);
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for turn in turns {
            assert!(relays.is_answered(turn), "seed {seed}: {turn}");
            assert_eq!(count_upstreams(&relays, turn), 1, "seed {seed}: {turn}");
        }
    }
}

/// Guards against a stream that runs on a second upstream because its own one, which lives, takes
/// no new calls.
#[rstest]
fn leaving_upstream() {
    for seed in seeds() {
        let mut relays = start(seed, 1);
        let turns = send(&mut relays, |number| RelayCall {
            tokens: 40,
            ..RelayCall::turn("bus", &format!("p{number}"), 100_000, 40)
        });
        let mut list = upstreams(2);
        list.upstreams[0].config.leaving = true;
        relays.store.set_upstreams(list);
        // The list is read within this time, and the turns are still running.
        relays.run_ms(RUN_MS - 20);
        let knows = |relays: &RelayFleet| {
            let row = relays.control(0).tables().upstreams.iter();
            row.into_iter()
                .any(|(name, row)| name.as_str() == "engine-1" && row.config.leaving)
        };
        if !knows(&relays) {
            continue;
        }
        relays.reset_connections(0, Some("engine-1"), 100);
        relays.run_ms(RUN_MS + RECOVERY_MS);
        for turn in turns {
            assert_eq!(count_upstreams(&relays, turn), 1, "seed {seed}: {turn}");
            assert!(relays.is_answered(turn) || relays.refusal(turn).is_some());
        }
    }
}

/// Guards against a content that waits for ever because its upstream left the list while the
/// cause of a broken connection was examined.
#[rstest]
fn delisted_while_examined() {
    for seed in seeds() {
        let mut relays = start(seed, 2);
        let turn = RelayCall {
            run_ms: RECOVERY_MS,
            ..RelayCall::turn("bus", "p", 100_000, 40)
        };
        let call = relays.call(0, turn.clone());
        relays.run_ms(RECOVERY_MS / 2);
        let used = relays.upstreams_of(call)[0].to_owned();
        // The probe gets no answer, so the examination lasts until the list has changed.
        relays.set_upstream_state(&used, Some(UpstreamState::Silent));
        let mut list = upstreams(2);
        list.upstreams
            .retain(|row| row.config.name.as_str() != used);
        relays.store.set_upstreams(list);
        relays.reset_connections(0, None, 100);
        // Only one copy of a suspect content runs at a time, so the first one has to end.
        relays.run_ms(2 * RECOVERY_MS);
        let again = relays.call(0, RelayCall { run_ms: 50, ..turn });
        relays.run_ms(RECOVERY_MS);
        assert!(relays.is_answered(again), "seed {seed}");
    }
}
