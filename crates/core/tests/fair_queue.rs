//! Guards against a client account, or a program with sub-agents, that takes more than its fair
//! share of a busy pool, and against long programs that starve.

use std::collections::BTreeMap;

use knapweeddale_core::config::PolicyPreset;
use knapweeddale_core::message::Place;
use knapweeddale_core::tables::{LaneOrder, Queue, QueuedCall, Rank};
use knapweeddale_core::{
    AccountName, AttemptId, CallId, CoreSettings, FleetConfig, Incarnation, ProgramName,
    ProgramTurn,
};
use knapweeddale_core::{ModelName, PoolKey, ServiceName, VmName};
use knapweeddale_testing::fleet::{engine_call, engine_fleet};
use knapweeddale_testing::mesh::{Mesh, TraceEvent};
use rstest::rstest;

/// Makes a mesh of one VM with a preset.
fn mesh(fleet: FleetConfig, preset: PolicyPreset) -> Mesh {
    let mut mesh = Mesh::with_settings(1, fleet, 1, move |vm, incarnation| {
        CoreSettings::builder()
            .vm(vm)
            .incarnation(incarnation)
            .preset(preset)
            .build()
    });
    mesh.run_ms(100);
    mesh
}

/// Counts the runs of each account from `from_us` until before `to_us`.
fn count_runs(mesh: &Mesh, from_us: u64, to_us: u64) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for (at_us, event) in &mesh.trace.events {
        if let TraceEvent::Executed { dispatch, .. } = event
            && (from_us..to_us).contains(at_us)
            && let Some(account) = &dispatch.account
        {
            *runs.entry(account.to_string()).or_default() += 1;
        }
    }
    runs
}

#[rstest]
#[case::equal(100, 100)]
#[case::double(200, 200)]
fn shares_follow_weights(#[case] weight: u32, #[case] ratio_percent: u64) {
    let mut fleet = engine_fleet(2, 2, 2);
    fleet.accounts[1].weight_percent = weight;
    let mut mesh = mesh(fleet, PolicyPreset::FairShare);
    // The first account sends five calls for each one of the second.
    for content in 0..600 {
        let account = usize::from(content % 6 == 0);
        mesh.call(0, engine_call(account, content, 100, 100));
    }
    for content in 600..800 {
        mesh.call(0, engine_call(1, content, 100, 100));
    }
    let from_us = mesh.now_us();
    mesh.run_ms(20_000);
    let runs = count_runs(&mesh, from_us, mesh.now_us());
    let percent = runs["account-1"] * 100 / runs["account-0"];
    assert!(
        percent.abs_diff(ratio_percent) <= ratio_percent / 10,
        "{runs:?}"
    );
}

#[test]
fn idle_account_gains_no_credit() {
    let mut mesh = mesh(engine_fleet(1, 1, 2), PolicyPreset::FairShare);
    for content in 0..100 {
        mesh.call(0, engine_call(0, content, 100, 20));
    }
    mesh.run_ms(5_000);
    // The second account was idle until now; from here on each gets half.
    let from_us = mesh.now_us();
    for content in 100..200 {
        mesh.call(0, engine_call(1, content, 100, 20));
    }
    mesh.run_ms(4_000);
    let runs = count_runs(&mesh, from_us, mesh.now_us());
    assert!(runs["account-0"] * 10 >= runs["account-1"] * 8, "{runs:?}");
}

/// Makes a call of a program.
fn program_call(
    account: usize,
    program: &str,
    content: u64,
    max_tokens: u64,
) -> knapweeddale_core::NewCall {
    let mut call = engine_call(account, content, 100, max_tokens);
    call.program = Some(ProgramTurn {
        name: ProgramName::from(program),
        turn: 1,
        continuation: None,
    });
    call
}

#[rstest]
#[case(PolicyPreset::FairShare)]
#[case(PolicyPreset::Latency)]
fn sub_agents_count_toward_root(#[case] preset: PolicyPreset) {
    let mut mesh = mesh(engine_fleet(1, 1, 1), preset);
    // The agents of program `tour` have attained much service.
    let mut first = program_call(0, "tour/a", 1, 20);
    first.prompt_tokens = 50_000;
    mesh.call(0, first);
    mesh.run_ms(3_000);
    mesh.call(0, program_call(0, "blocker", 2, 500));
    mesh.run_ms(100);
    let old = mesh.call(0, program_call(0, "tour/c", 3, 10));
    let new = mesh.call(0, program_call(0, "fresh", 4, 10));
    mesh.run_ms(10_000);
    let answered_us = |id| {
        let events = mesh.trace.events.iter();
        let mut at = events.filter_map(|(at_us, event)| match event {
            TraceEvent::Answered(answered) if answered.call == id => Some(*at_us),
            _ => None,
        });
        at.next().expect("call ends")
    };
    assert!(answered_us(new) < answered_us(old));
}

/// Makes a queued call that arrived at `seq` microseconds.
fn queued_call(seq: u64) -> QueuedCall {
    let call = CallId {
        incarnation: Incarnation(1),
        seq,
    };
    let place = Place {
        pool: PoolKey {
            service: ServiceName::from("chat"),
            model: Some(ModelName::from("small")),
        },
        attempt: AttemptId { call, number: 1 },
        account: None,
        program: None,
        spent_tokens: 0,
        prompt_tokens: 0,
        max_tokens: 0,
        digest: Default::default(),
        crashes: 0,
        avoid: Default::default(),
        ended: None,
        priority: None,
        only: None,
        origin: None,
    };
    QueuedCall {
        vm: VmName::from("vm-0"),
        place,
        arrived_us: seq,
    }
}

#[test]
fn latency_bounds_account_lag() {
    let mut queue = Queue::default();
    let lanes = [Some(AccountName::from("a")), Some(AccountName::from("b"))];
    for seq in 0..10 {
        let queued = queued_call(seq);
        let attempt = queued.place.attempt;
        // All calls of the first account have attained less service.
        let attained = seq % 2;
        let rank = Rank {
            attained,
            arrived_us: seq,
            attempt,
        };
        queue.push(lanes[attained as usize].clone(), rank, queued);
    }
    let order = LaneOrder::LowestRank { max_lag: 100 };
    let first = |queue: &Queue| queue.candidates(order, |_| true)[0].call.seq % 2;
    assert_eq!(first(&queue), 0);
    queue.add_service(&lanes[0], 100);
    assert_eq!(first(&queue), 0);
    queue.add_service(&lanes[0], 1);
    assert_eq!(first(&queue), 1);
}

#[test]
fn long_program_is_not_starved() {
    let mut mesh = mesh(engine_fleet(1, 1, 1), PolicyPreset::FairShare);
    let mut first = program_call(0, "tour/a", 1, 20);
    first.prompt_tokens = 50_000;
    mesh.call(0, first);
    mesh.run_ms(3_000);
    // New programs arrive faster than one engine serves them.
    mesh.call(0, program_call(0, "blocker", 2, 100));
    let old = mesh.call(0, program_call(0, "tour/b", 3, 100));
    for number in 0..150 {
        mesh.call(
            0,
            program_call(0, &format!("fresh-{number}"), 10 + number, 100),
        );
        mesh.run_ms(300);
    }
    assert!(
        mesh.trace.response(old).is_some(),
        "{:?}",
        mesh.trace.refusal(old)
    );
}
