//! Guards against turns that run out of order, run twice or never end.

use knapweeddale_core::message::HomesMessage;
use knapweeddale_core::{Execution, PeerMessage, RefusalKind};
use knapweeddale_testing::callers::{Kind, call, fleet, program_key};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::{DropRule, Mesh, TraceEvent};
use rstest::rstest;

/// Starts three VMs and returns them with a VM that is not the home of `tour`.
fn start() -> (Mesh, usize) {
    let mut mesh = Mesh::new(3, fleet(100_000, 130), 1);
    mesh.run_ms(2_000);
    let home = mesh.home_of(0, &program_key("tour")).expect("a home");
    (mesh, (home + 1) % 3)
}

fn check(mesh: &Mesh) {
    invariants::program_order(&mesh.trace).expect("order");
    invariants::answer_matches_request(&mesh.trace).expect("responses");
    invariants::charges_reconcile(&mesh.trace).expect("charges");
    invariants::refusal_is_true(&mesh.trace).expect("refusals");
}

#[test]
fn later_turn_waits() {
    let (mut mesh, vm) = start();
    let first = mesh.call(vm, call(Kind::Status, "tour", 1, 1, None, None));
    mesh.run_ms(20);
    let second = mesh.call(vm, call(Kind::Status, "tour", 2, 2, None, None));
    let third = mesh.call(vm, call(Kind::Status, "tour", 4, 3, None, None));
    mesh.run_ms(4_000);
    assert!(mesh.trace.response(first).is_some());
    assert!(mesh.trace.response(second).is_some(), "waits for turn 1");
    let refusal = mesh.trace.refusal(third).expect("turn 3 is missing");
    assert_eq!(refusal.kind, RefusalKind::TurnOutOfOrder);
    check(&mesh);
}

#[rstest]
#[case::while_running(50)]
#[case::after_end(1_000)]
fn resend_gets_first_response(#[case] after_ms: u64) {
    let (mut mesh, vm) = start();
    let new = call(Kind::Chat, "tour", 1, 1, None, None);
    let first = mesh.call(vm, new.clone());
    mesh.run_ms(after_ms);
    let second = mesh.call((vm + 1) % 3, new);
    mesh.run_ms(1_000);
    assert!(mesh.trace.response(first).is_some());
    let is_replay = |event: &TraceEvent| {
        matches!(event, TraceEvent::Replayed { call, original, .. }
            if *call == second && *original == first)
    };
    assert!(mesh.trace.events.iter().any(|(_, event)| is_replay(event)));
    check(&mesh);
}

#[test]
fn stored_response_expires() {
    let (mut mesh, vm) = start();
    let new = call(Kind::Chat, "tour", 1, 1, None, None);
    mesh.call(vm, new.clone());
    mesh.run_ms(121_000);
    let late = mesh.call(vm, new);
    mesh.run_ms(1_000);
    let refusal = mesh.trace.refusal(late).expect("the response has expired");
    assert_eq!(refusal.kind, RefusalKind::DuplicateTurn);
    assert_eq!(refusal.ran, Execution::Ran);
}

#[test]
fn other_content_gets_no_response() {
    let (mut mesh, vm) = start();
    mesh.call(vm, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(1_000);
    let other = mesh.call(vm, call(Kind::Chat, "tour", 1, 2, None, None));
    mesh.run_ms(1_000);
    let refusal = mesh.trace.refusal(other).expect("another request");
    assert_eq!(refusal.kind, RefusalKind::DuplicateTurn);
    assert_eq!(refusal.ran, Execution::NotRun);
    check(&mesh);
}

fn is_begin(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Homes(HomesMessage::Begin(_)))
}

fn is_began(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Homes(HomesMessage::Began(_)))
}

fn is_settle(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Homes(HomesMessage::Settle(_)))
}

fn is_settled(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Homes(HomesMessage::Settled { .. }))
}

#[rstest]
fn turn_recovers_from_lost_messages(
    #[values(is_begin, is_began, is_settle, is_settled)] lost: fn(&PeerMessage) -> bool,
) {
    let (mut mesh, vm) = start();
    let loses: DropRule = (lost, 3);
    mesh.drop_rules.push(loses);
    let first = mesh.call(vm, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(8_000);
    let answered = mesh
        .trace
        .response(first)
        .expect("answered after the losses");
    let state = answered.continuation.clone();
    let second = mesh.call(vm, call(Kind::Chat, "tour", 2, 2, state.as_ref(), None));
    mesh.run_ms(2_000);
    assert!(mesh.trace.response(second).is_some());
    check(&mesh);
}

#[test]
fn abandoned_call_frees_its_turn() {
    let (mut mesh, vm) = start();
    // The home lets the turn begin, but the entry VM receives no `Began`.
    mesh.drop_rules.push((is_began, 100));
    let first = mesh.call(vm, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(300);
    mesh.input(vm, knapweeddale_core::Input::CallAbandoned(first));
    mesh.drop_rules.clear();
    mesh.run_ms(3_000);
    let second = mesh.call(vm, call(Kind::Chat, "tour", 1, 2, None, None));
    mesh.run_ms(2_000);
    assert!(mesh.trace.response(second).is_some());
    check(&mesh);
}
