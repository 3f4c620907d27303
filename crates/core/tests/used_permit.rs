//! Guards against a second run of a request that must not be repeated, after a resend or the loss
//! of a VM.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{CallId, Execution, ProgramRequestKind, RefusalKind};
use knapweeddale_testing::callers::{Kind, call, fleet, program_key, request};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::{Mesh, TraceEvent};
use rstest::rstest;

/// A mesh whose program `tour` has ended turn 1, with the continuation and permit of its caller.
struct Session {
    mesh: Mesh,
    home: usize,
    state: Continuation,
    permit: Permit,
}

/// Starts five VMs and runs turn 1 of `tour`.
fn start() -> Session {
    let mut mesh = Mesh::new(5, fleet(100_000, 130), 1);
    mesh.run_ms(2_000);
    let home = mesh.home_of(0, &program_key("tour")).expect("a home");
    let first = mesh.call((home + 1) % 5, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(1_000);
    let answered = mesh.trace.response(first).expect("turn 1").clone();
    Session {
        mesh,
        home,
        state: answered.continuation.expect("a continuation"),
        permit: answered.permit.expect("a permit"),
    }
}

impl Session {
    /// Sends the request of turn 2 through the VM `distance` places after the home.
    fn send(&mut self, distance: usize) -> CallId {
        let vm = (self.home + distance) % 5;
        let (state, permit) = (Some(&self.state), Some(&self.permit));
        let new = call(Kind::Send, "tour", 2, 2, state, permit);
        self.mesh.call(vm, new)
    }

    /// Counts the runs of requests with a permit.
    fn count_runs(&self) -> usize {
        let is_run = |event: &TraceEvent| matches!(event, TraceEvent::Executed { call, .. } if call.permit.is_some());
        let events = self.mesh.trace.events.iter();
        events.filter(|(_, event)| is_run(event)).count()
    }

    fn check(&self) {
        invariants::at_most_once(&self.mesh.trace).expect("at most once");
        invariants::refusal_is_true(&self.mesh.trace).expect("refusals");
        invariants::answer_matches_request(&self.mesh.trace).expect("responses");
    }
}

#[test]
fn resend_through_another_vm_runs_once() {
    let mut session = start();
    session.send(1);
    session.mesh.run_ms(30);
    session.send(2);
    session.mesh.run_ms(1_000);
    session.send(3);
    session.mesh.run_ms(1_000);
    assert_eq!(session.count_runs(), 1);
    session.check();
}

#[test]
fn entry_vm_crash_leaves_outcome_unknown() {
    let mut session = start();
    session.send(1);
    session.mesh.run_ms(30);
    let entry = (session.home + 1) % 5;
    session.mesh.crash(entry);
    let resend = session.send(2);
    session.mesh.run_ms(10_000);
    let refusal = session.mesh.trace.refusal(resend).expect("unknown");
    assert_eq!(refusal.ran, Execution::MayHaveRun);
    assert_eq!(session.count_runs(), 1);
    session.check();
}

#[rstest]
#[case::before_dispatch(0)]
#[case::around_dispatch(4)]
#[case::after_dispatch(30)]
fn permit_is_void_after_home_crash(#[case] after_ms: u64) {
    let mut session = start();
    session.send(1);
    session.mesh.run_ms(after_ms);
    let home = session.home;
    session.mesh.crash(home);
    session.mesh.run_ms(10_000);
    let resend = session.send(2);
    session.mesh.run_ms(10_000);
    let refusal = session.mesh.trace.refusal(resend);
    let is_replayed =
        session.mesh.trace.events.iter().any(
            |(_, event)| matches!(event, TraceEvent::Replayed { call, .. } if *call == resend),
        );
    let is_unknown = refusal.is_some_and(|refusal| refusal.ran != Execution::NotRun);
    assert!(is_replayed || is_unknown, "{refusal:?}");
    assert!(session.count_runs() <= 1);
    session.check();
}

#[test]
fn paused_entry_vm_dispatches_nothing_late() {
    let mut session = start();
    let entry = (session.home + 1) % 5;
    session.send(1);
    session.mesh.run_ms(1);
    // `Began` reaches the entry VM while it is paused beyond its validity.
    session.mesh.pause(entry, 8_000_000);
    session.mesh.run_ms(7_000);
    let resend = session.send(2);
    session.mesh.run_ms(20_000);
    assert!(session.count_runs() <= 1);
    let refusal = session.mesh.trace.refusal(resend);
    assert!(refusal.is_none_or(|refusal| refusal.ran == Execution::MayHaveRun));
    session.check();
}

#[test]
fn unsent_request_runs_with_new_permit() {
    let mut session = start();
    let home = session.home;
    session.mesh.crash(home);
    session.mesh.run_ms(10_000);
    let void = session.send(1);
    session.mesh.run_ms(1_000);
    let refusal = session.mesh.trace.refusal(void).expect("permit is void");
    assert_eq!(refusal.kind, RefusalKind::PermitVoid);
    let kind = ProgramRequestKind::Permit { turn: 2 };
    let ask = request(kind, "tour", Some(&session.state));
    session.mesh.program((home + 2) % 5, ask);
    session.mesh.run_ms(1_000);
    let events = session.mesh.trace.events.iter();
    let issued = events.rev().find_map(|(_, event)| match event {
        TraceEvent::PermitIssued { permit, .. } => Some((**permit).clone()),
        _ => None,
    });
    session.permit = issued.expect("a new permit");
    session.send(3);
    session.mesh.run_ms(1_000);
    assert_eq!(session.count_runs(), 1);
    session.check();
}
