//! Guards against programs whose state is lost when their home crashes, and against programs
//! with two homes at once.

use knapweeddale_core::{Execution, RefusalKind};
use knapweeddale_testing::callers::{Kind, call, fleet, program_key};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::{Mesh, TraceEvent};
use rstest::rstest;

/// Starts five VMs and returns them with the home of `tour`.
fn start() -> (Mesh, usize) {
    let mut mesh = Mesh::new(5, fleet(100_000, 130), 1);
    mesh.run_ms(2_000);
    let home = mesh.home_of(0, &program_key("tour")).expect("a home");
    (mesh, home)
}

#[rstest]
#[case::before_begin(0)]
#[case::before_dispatch(2)]
#[case::while_running(50)]
#[case::after_end(1_000)]
fn program_continues(#[case] after_ms: u64) {
    let (mut mesh, home) = start();
    let entry = (home + 1) % 5;
    let first = mesh.call(entry, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(after_ms);
    mesh.crash(home);
    mesh.run_ms(12_000);
    let answered = mesh.trace.response(first).expect("turn 1 is answered");
    let state = answered.continuation.clone().expect("a continuation");
    let next = call(Kind::Chat, "tour", 2, 2, Some(&state), None);
    let next = mesh.call(entry, next);
    mesh.run_ms(1_000);
    let answered = mesh.trace.response(next).expect("turn 2 is answered");
    let spent = answered.continuation.as_ref().map(|c| c.spent_tokens);
    assert_eq!(spent, Some(240), "the tokens of both turns are counted");
    invariants::program_order(&mesh.trace).expect("order");
    invariants::history_intact(&mesh.trace).expect("history");
    invariants::memory_released(&mesh).expect("memory");
}

#[test]
fn isolated_home_begins_no_turn() {
    let (mut mesh, home) = start();
    let entry = (home + 1) % 5;
    let rest: Vec<usize> = (0..5).filter(|vm| *vm != home && *vm != entry).collect();
    // The home and one entry VM are isolated and keep the old view.
    mesh.partition(&[home, entry], &rest);
    mesh.store.isolated.extend([home, entry]);
    mesh.run_ms(5_000);
    let old_side = mesh.call(entry, call(Kind::Chat, "tour", 1, 1, None, None));
    let new_side = mesh.call(rest[0], call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(12_000);
    let ran = |vm: usize| {
        let begins = mesh.trace.events.iter().filter(|(_, event)| {
            matches!(event, TraceEvent::Executed { vm: by, .. } if mesh.index(by) == Some(vm))
        });
        begins.count()
    };
    assert_eq!(ran(entry), 0, "no turn begins without a lease");
    let refusal = mesh.trace.refusal(old_side).expect("no home on this side");
    assert_eq!(refusal.ran, Execution::NotRun);
    assert!(
        mesh.trace.response(new_side).is_some(),
        "the new home takes over"
    );
    invariants::at_most_once(&mesh.trace).expect("at most once");
}

#[test]
fn takeover_waits_for_the_old_lease() {
    let (mut mesh, home) = start();
    let entry = (home + 1) % 5;
    mesh.call(entry, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(1_000);
    mesh.pause(home, 60_000_000);
    let paused_us = mesh.now_us();
    let second = mesh.call(entry, call(Kind::Status, "tour", 1, 2, None, None));
    mesh.run_ms(12_000);
    let refused =
        mesh.trace.events.iter().find(
            |(_, event)| matches!(event, TraceEvent::Refused(refusal) if refusal.call == second),
        );
    let (at_us, event) = refused.expect("the new home refuses the duplicate");
    let TraceEvent::Refused(refusal) = event else {
        unreachable!("found as a refusal");
    };
    assert_eq!(refusal.kind, RefusalKind::DuplicateTurn);
    assert!(
        at_us - paused_us > 3_000_000,
        "refused before the old lease has ended"
    );
}
