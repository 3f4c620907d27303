//! Guards against histories of programs that lose turns, fork or mix with those of another program.

use knapweeddale_core::input::Continuation;
use knapweeddale_core::{CallId, HistoryDigest, ProgramRequestKind, RefusalKind};
use knapweeddale_testing::callers::{Kind, call, fleet, program_key, request};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::{Mesh, TraceEvent};
use rstest::rstest;

/// Runs two turns of `tour` and returns the mesh, the home and the continuation after each turn.
fn run_two_turns() -> (Mesh, usize, [Continuation; 2]) {
    let mut mesh = Mesh::new(5, fleet(100_000, 130), 1);
    mesh.run_ms(2_000);
    let home = mesh.home_of(0, &program_key("tour")).expect("a home");
    let entry = (home + 1) % 5;
    let state_of = |mesh: &mut Mesh, turn: u32, state: Option<&Continuation>| {
        let content = u64::from(turn);
        let id = mesh.call(entry, call(Kind::Chat, "tour", turn, content, state, None));
        mesh.run_ms(500);
        let answered = mesh.trace.response(id).expect("turn is answered");
        answered.continuation.clone().expect("a continuation")
    };
    let first = state_of(&mut mesh, 1, None);
    let second = state_of(&mut mesh, 2, Some(&first));
    (mesh, home, [first, second])
}

fn refusal_kind(mesh: &Mesh, call: CallId) -> Option<RefusalKind> {
    mesh.trace.refusal(call).map(|refusal| refusal.kind)
}

fn forked(state: &Continuation) -> Continuation {
    Continuation {
        history: HistoryDigest([9; 32]),
        ..state.clone()
    }
}

#[rstest]
#[case::stale(|s: &[Continuation; 2]| Some(s[0].clone()), RefusalKind::StaleContinuation)]
#[case::forked(|s: &[Continuation; 2]| Some(forked(&s[1])), RefusalKind::HistoryMismatch)]
#[case::missing(|_: &[Continuation; 2]| None, RefusalKind::ContinuationMissing)]
fn wrong_continuation_is_refused(
    #[case] carried: fn(&[Continuation; 2]) -> Option<Continuation>,
    #[case] kind: RefusalKind,
    #[values(false, true)] loses_home: bool,
) {
    let (mut mesh, home, states) = run_two_turns();
    if loses_home {
        mesh.crash(home);
        mesh.run_ms(10_000);
    }
    let carried = carried(&states);
    let wrong = call(Kind::Chat, "tour", 3, 3, carried.as_ref(), None);
    let wrong = mesh.call((home + 2) % 5, wrong);
    mesh.run_ms(2_000);
    assert_eq!(refusal_kind(&mesh, wrong), Some(kind));
    let right = call(Kind::Chat, "tour", 3, 3, Some(&states[1]), None);
    let right = mesh.call((home + 2) % 5, right);
    mesh.run_ms(2_000);
    assert!(mesh.trace.response(right).is_some());
    invariants::history_intact(&mesh.trace).expect("history");
    invariants::program_order(&mesh.trace).expect("order");
}

#[test]
fn continuation_of_another_program_is_refused() {
    let (mut mesh, home, states) = run_two_turns();
    let mixed = call(Kind::Chat, "season", 3, 3, Some(&states[1]), None);
    let mixed = mesh.call(home, mixed);
    mesh.run_ms(1_000);
    assert_eq!(
        refusal_kind(&mesh, mixed),
        Some(RefusalKind::HistoryMismatch)
    );
}

#[rstest]
fn ended_program_stays_ended(#[values(false, true)] loses_home: bool) {
    let (mut mesh, home, states) = run_two_turns();
    let end = request(ProgramRequestKind::End, "tour", Some(&states[1]));
    mesh.program((home + 1) % 5, end);
    mesh.run_ms(500);
    let is_ended = |event: &TraceEvent| matches!(event, TraceEvent::ProgramEnded { .. });
    assert!(mesh.trace.events.iter().any(|(_, event)| is_ended(event)));
    if loses_home {
        mesh.crash(home);
        mesh.run_ms(10_000);
    }
    let late = call(Kind::Chat, "tour", 3, 3, Some(&states[1]), None);
    let late = mesh.call((home + 2) % 5, late);
    mesh.run_ms(1_000);
    assert_eq!(refusal_kind(&mesh, late), Some(RefusalKind::ProgramEnded));
}

#[test]
fn new_program_refuses_old_continuation() {
    let (mut mesh, home, states) = run_two_turns();
    mesh.program(home, request(ProgramRequestKind::End, "tour", None));
    mesh.run_ms(500);
    let again = mesh.call(home, call(Kind::Chat, "tour", 1, 7, None, None));
    mesh.run_ms(500);
    assert!(mesh.trace.response(again).is_some());
    let old = call(Kind::Chat, "tour", 3, 3, Some(&states[1]), None);
    let old = mesh.call(home, old);
    mesh.run_ms(500);
    assert_eq!(refusal_kind(&mesh, old), Some(RefusalKind::ProgramEnded));
}
