//! Guards against retries of a call that must not be repeated, that are charged or counted twice,
//! or that overload a failing pool.

use knapweeddale_core::input::{AttemptProgress, Failure};
use knapweeddale_core::{
    AttemptEvent, CallId, Decision, Execution, Input, RefusalKind, ServiceName, Target,
    UpstreamName,
};
use knapweeddale_testing::fleet::{add_plain_service, engine_call, engine_fleet};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::{Mesh, TraceEvent};
use rstest::rstest;

/// Counts the runs of a call.
fn count_runs(mesh: &Mesh, id: CallId) -> usize {
    let events = mesh.trace.events.iter();
    events
        .filter(|(_, event)| matches!(event, TraceEvent::Executed { call, .. } if call.id == id))
        .count()
}

/// Counts the decisions to retry.
fn count_retries(mesh: &Mesh) -> usize {
    let is_retry = |event: &TraceEvent| {
        matches!(
            event,
            TraceEvent::Decided {
                decision: Decision::Retry { .. },
                ..
            }
        )
    };
    let events = mesh.trace.events.iter();
    events.filter(|(_, event)| is_retry(event)).count()
}

/// Reports a failure of the running attempt of a call.
fn report_failure(mesh: &mut Mesh, id: CallId, failure: Failure) {
    let calls = &mesh.control(0).expect("VM runs").tables().calls;
    let attempt = calls.get(&id).expect("call runs").attempt();
    let progress = AttemptProgress::Failed(failure);
    mesh.input(0, Input::Attempt(AttemptEvent { attempt, progress }));
    mesh.run_ms(20);
}

#[test]
fn retries_on_another_upstream_once_charged() {
    let mut mesh = Mesh::new(1, engine_fleet(3, 4, 1), 1);
    mesh.run_ms(100);
    let id = mesh.call(0, engine_call(0, 1, 100, 100));
    mesh.run_ms(20);
    report_failure(&mut mesh, id, Failure::UpstreamError { status: 500 });
    mesh.run_ms(5_000);
    let mut upstreams: Vec<UpstreamName> = Vec::new();
    let mut admitted = 0;
    for (_, event) in &mesh.trace.events {
        match event {
            TraceEvent::Executed { dispatch, .. } => upstreams.push(dispatch.upstream.clone()),
            TraceEvent::Admitted { .. } => admitted += 1,
            _ => {}
        }
    }
    assert_eq!(upstreams.len(), 2);
    assert_ne!(upstreams[0], upstreams[1]);
    assert_eq!(admitted, 1, "a retry takes no second call from the rate");
    assert!(mesh.trace.response(id).is_some());
    invariants::charges_reconcile(&mesh.trace).expect("charged once");
}

#[test]
fn retries_are_limited_on_failing_pool() {
    let mut mesh = Mesh::new(1, engine_fleet(4, 100, 1), 1);
    mesh.engines.failing = (0..4)
        .map(|number| UpstreamName::from(format!("engine-{number}")))
        .collect();
    mesh.run_ms(100);
    for content in 0..200 {
        mesh.call(0, engine_call(0, content, 10, 10));
        mesh.run_ms(1);
    }
    mesh.run_ms(5_000);
    // 20% of 200 calls, or the 3 that are always allowed.
    assert!(
        count_retries(&mesh) <= 40,
        "{} retries",
        count_retries(&mesh)
    );
    assert!(count_retries(&mesh) >= 3);
}

#[rstest]
#[case::error(Failure::UpstreamError { status: 500 })]
#[case::lost(Failure::ConnectionLost { answer_tokens: 0, forwarded: false })]
#[case::silent(Failure::Silent { answer_tokens: 0, forwarded: false })]
fn repeats_only_idempotent_routes(#[case] failure: Failure) {
    let mut fleet = engine_fleet(1, 1, 1);
    add_plain_service(&mut fleet, 3);
    let mut mesh = Mesh::new(1, fleet, 1);
    mesh.run_ms(100);
    let mut read = engine_call(0, 1, 0, 100);
    read.target = Target::Plain {
        service: ServiceName::from("pay"),
        method: "GET".to_owned(),
        path: "/read/1".to_owned(),
    };
    let read = mesh.call(0, read);
    mesh.run_ms(20);
    report_failure(&mut mesh, read, failure);
    assert_eq!(count_runs(&mesh, read), 2);
}

#[test]
fn no_retry_after_response_began() {
    let mut mesh = Mesh::new(1, engine_fleet(3, 4, 1), 1);
    mesh.run_ms(100);
    let id = mesh.call(0, engine_call(0, 1, 100, 100));
    mesh.run_ms(20);
    let failure = Failure::ConnectionLost {
        answer_tokens: 5,
        forwarded: true,
    };
    report_failure(&mut mesh, id, failure);
    mesh.run_ms(3_000);
    let refusal = mesh.trace.refusal(id).expect("call ends");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (RefusalKind::UpstreamFailed, Execution::MayHaveRun)
    );
    assert_eq!(count_runs(&mesh, id), 1);
    invariants::charges_reconcile(&mesh.trace).expect("the part is charged once");
}

#[test]
fn retried_call_that_expires_may_have_run() {
    let mut mesh = Mesh::new(1, engine_fleet(2, 1, 1), 1);
    mesh.run_ms(100);
    let id = mesh.call(0, engine_call(0, 1, 100, 10_000));
    let other = mesh.call(0, engine_call(0, 2, 100, 10_000));
    mesh.run_ms(20);
    let queued = mesh.call(0, engine_call(0, 3, 100, 10_000));
    report_failure(&mut mesh, id, Failure::UpstreamError { status: 500 });
    mesh.run_ms(40_000);
    let refusal = mesh.trace.refusal(id);
    if let Some(refusal) = refusal {
        assert_eq!(refusal.ran, Execution::MayHaveRun);
    }
    assert!(mesh.trace.refusal(id).is_some() || mesh.trace.refusal(queued).is_some());
    let _ = other;
    invariants::refusal_is_true(&mesh.trace).expect("refusals are true");
}
