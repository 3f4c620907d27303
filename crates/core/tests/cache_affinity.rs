//! Guards against prompts that are processed again although an upstream has them cached, and
//! against cache hints that send every call to one upstream.

use std::collections::BTreeMap;

use knapweeddale_core::input::Continuation;
use knapweeddale_core::{CallId, ContentDigest, NewCall, ProgramName, ProgramTurn};
use knapweeddale_testing::fleet::{engine_call, engine_fleet};
use knapweeddale_testing::mesh::{Mesh, TraceEvent};

/// Makes a call for a turn of a program.
fn turn(
    program: &str,
    turn: u32,
    prompt_tokens: u64,
    continuation: Option<Continuation>,
) -> NewCall {
    let mut call = engine_call(0, u64::from(turn), prompt_tokens, 20);
    call.digest = ContentDigest::default();
    call.program = Some(ProgramTurn {
        name: ProgramName::from(program),
        turn,
        continuation,
    });
    call
}

/// Returns the upstream that ran a call.
fn upstream_of(mesh: &Mesh, id: CallId) -> String {
    let mut events = mesh.trace.events.iter();
    let found = events.find_map(|(_, event)| match event {
        TraceEvent::Executed { dispatch, call, .. } if call.id == id => {
            Some(dispatch.upstream.to_string())
        }
        _ => None,
    });
    found.expect("call ran")
}

/// Runs turns of a program with a pause after each; returns the upstream of each turn.
fn run_program(mesh: &mut Mesh, program: &str, turns: u32, pause_ms: u64) -> Vec<String> {
    let mut continuation = None;
    let mut upstreams = Vec::new();
    for number in 1..=turns {
        let prompt_tokens = 4_000 * u64::from(number);
        let id = mesh.call(0, turn(program, number, prompt_tokens, continuation.take()));
        mesh.run_ms(5_000);
        let answered = mesh.trace.response(id).expect("turn is answered");
        continuation = answered.continuation.clone();
        upstreams.push(upstream_of(mesh, id));
        mesh.run_ms(pause_ms);
    }
    upstreams
}

#[test]
fn turns_stay_on_one_upstream() {
    for engines in [4, 40] {
        let mut mesh = Mesh::new(1, engine_fleet(engines, 8, 1), 1);
        mesh.run_ms(100);
        let upstreams = run_program(&mut mesh, "tour", 6, 1_000);
        assert!(
            upstreams.windows(2).all(|pair| pair[0] == pair[1]),
            "{upstreams:?}"
        );
    }
}

#[test]
fn programs_spread_over_upstreams() {
    for engines in [4, 40] {
        let mut mesh = Mesh::new(1, engine_fleet(engines, 8, 1), 1);
        mesh.run_ms(100);
        let ids: Vec<CallId> = (0..32)
            .map(|number| mesh.call(0, turn(&format!("tour-{number}"), 1, 5_000, None)))
            .collect();
        mesh.run_ms(10_000);
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for id in ids {
            *counts.entry(upstream_of(&mesh, id)).or_default() += 1;
        }
        assert!(counts.len() >= 4, "{counts:?}");
        assert!(
            counts.values().all(|count| *count <= 32 / 4 + 1),
            "{counts:?}"
        );
    }
}

#[test]
fn crash_invalidates_hints() {
    let mut mesh = Mesh::new(1, engine_fleet(2, 8, 1), 1);
    mesh.run_ms(100);
    let first = mesh.call(0, turn("tour", 1, 50_000, None));
    mesh.run_ms(5_000);
    let cached_on = upstream_of(&mesh, first);
    let poison = knapweeddale_testing::fleet::digest(666);
    mesh.engines.poison.insert(poison);
    mesh.call(0, engine_call(0, 666, 10, 10));
    mesh.run_ms(200_000);
    assert!(
        mesh.engines
            .crashes
            .keys()
            .any(|name| name.as_str() == cached_on)
    );
    let control = mesh.control(0).expect("VM runs");
    let row = control
        .tables()
        .upstreams
        .iter()
        .find(|(name, _)| name.as_str() == cached_on);
    let (_, row) = row.expect("upstream exists");
    let (_, history) = control
        .tables()
        .placement_histories
        .iter()
        .next()
        .expect("placement history");
    assert!(history.hints[0].ended_us < row.health.cache_valid_from_us);
}
