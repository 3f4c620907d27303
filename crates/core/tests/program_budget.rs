//! Guards against programs that use more tokens, turns or time than their budget, and against
//! sub-agents that outlive their root.

use knapweeddale_core::{ProgramRequestKind, RefusalKind};
use knapweeddale_testing::callers::{Callers, Kind, call, fleet, program_key, request};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::Mesh;
use rstest::rstest;

#[rstest]
#[case::tokens(1_500, 130)]
#[case::turns(100_000, 10)]
fn sub_agents_stay_within_budget(#[case] tokens: u64, #[case] turns: u32) {
    for seed in 0..10 {
        let fleet = fleet(tokens, turns);
        let mut mesh = Mesh::new(3, fleet.clone(), seed);
        let mut callers = Callers::new(4, 20, seed);
        mesh.run_ms(2_000);
        mesh.faults.lost_per_mille = 50;
        mesh.faults.duplicated_per_mille = 50;
        callers.run_ms(&mut mesh, 20_000);
        invariants::budget_holds(&mesh.trace, &fleet).expect("budget");
        let refused = callers.refusals.keys();
        let over = refused.filter(|(kind, _)| *kind == RefusalKind::OverBudget);
        assert!(over.count() > 0, "no call was refused over budget");
    }
}

#[test]
fn wall_time_ends_program() {
    let mut fleet = fleet(100_000, 130);
    fleet.accounts[0].program_wall_ms = 5_000;
    let mut mesh = Mesh::new(1, fleet, 1);
    mesh.run_ms(1_000);
    let first = mesh.call(0, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(6_000);
    let answered = mesh.trace.response(first).expect("in time");
    let state = answered.continuation.clone();
    let late = mesh.call(0, call(Kind::Chat, "tour", 2, 2, state.as_ref(), None));
    mesh.run_ms(1_000);
    let refusal = mesh.trace.refusal(late).expect("too late");
    assert_eq!(refusal.kind, RefusalKind::OverBudget);
    invariants::memory_released(&mesh).expect("memory of the program is released");
}

#[test]
fn sub_agents_end_with_their_root() {
    let mut mesh = Mesh::new(3, fleet(100_000, 130), 1);
    mesh.run_ms(2_000);
    mesh.call(0, call(Kind::Chat, "tour", 1, 1, None, None));
    let child = mesh.call(1, call(Kind::Chat, "tour/hall", 1, 2, None, None));
    mesh.run_ms(1_000);
    let state = mesh
        .trace
        .response(child)
        .and_then(|a| a.continuation.clone());
    mesh.program(2, request(ProgramRequestKind::End, "tour", None));
    mesh.run_ms(500);
    let late = mesh.call(1, call(Kind::Chat, "tour/hall", 2, 3, state.as_ref(), None));
    mesh.run_ms(500);
    let refusal = mesh.trace.refusal(late).expect("ended with its root");
    assert_eq!(refusal.kind, RefusalKind::ProgramEnded);
    for vm in 0..3 {
        let programs = &mesh.tables(vm).programs;
        assert!(!programs.contains_key(&program_key("tour")));
        assert!(!programs.contains_key(&program_key("tour/hall")));
    }
    invariants::memory_released(&mesh).expect("memory of both is released");
}
