//! Guards against unnoticed changes of the homes' decisions, by a snapshot of one fixed session.

use knapweeddale_core::ProgramRequestKind;
use knapweeddale_testing::callers::{Kind, call, fleet, program_key, request};
use knapweeddale_testing::mesh::{Mesh, TraceEvent};

/// Returns the decisions of homes and admission as they are logged.
///
/// Times are left out: they depend on the random delays of all other messages.
fn decisions(mesh: &Mesh) -> String {
    let lines = mesh.trace.events.iter().filter_map(|(_, event)| {
        let TraceEvent::Decided { vm, decision } = event else {
            return None;
        };
        let text = decision.to_string();
        let is_included = text.starts_with("homes:") || text.starts_with("admission:");
        is_included.then(|| format!("{vm} {text}\n"))
    });
    lines.collect()
}

#[test]
fn session_with_lost_home() {
    let mut mesh = Mesh::new(3, fleet(1_000, 130), 1);
    mesh.run_ms(2_000);
    let home = mesh.home_of(0, &program_key("tour")).expect("a home");
    let entry = (home + 1) % 3;
    let first = mesh.call(entry, call(Kind::Chat, "tour", 1, 1, None, None));
    // Sent later, so that random delays do not decide which call gets which engine.
    mesh.run_ms(20);
    mesh.call(entry, call(Kind::Chat, "tour/hall", 1, 2, None, None));
    mesh.run_ms(1_000);
    let answered = mesh.trace.response(first).expect("turn 1").clone();
    let (state, permit) = (answered.continuation, answered.permit);
    let send = call(Kind::Send, "tour", 2, 3, state.as_ref(), permit.as_ref());
    mesh.call(entry, send.clone());
    mesh.run_ms(30);
    mesh.call(entry, send.clone());
    mesh.run_ms(500);
    let stale = call(Kind::Chat, "tour", 3, 4, state.as_ref(), None);
    mesh.call(entry, stale);
    mesh.run_ms(500);
    mesh.crash(home);
    mesh.run_ms(10_000);
    mesh.call(entry, send);
    mesh.run_ms(500);
    mesh.program(entry, request(ProgramRequestKind::End, "tour", None));
    mesh.run_ms(500);
    insta::assert_snapshot!(decisions(&mesh));
}
