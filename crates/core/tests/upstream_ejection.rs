//! Guards against calls that are still sent to a failing upstream, and against a pool that ejects
//! all of its upstreams.

use knapweeddale_core::{Decision, UpstreamName};
use knapweeddale_testing::fleet::{engine_call, engine_fleet};
use knapweeddale_testing::mesh::{Mesh, TraceEvent};

/// Returns the durations of an upstream's ejections in milliseconds.
fn ejection_times_ms(mesh: &Mesh, name: &str) -> Vec<u64> {
    let events = mesh.trace.events.iter();
    events
        .filter_map(|(_, event)| match event {
            TraceEvent::Decided {
                decision:
                    Decision::Ejected {
                        upstream, for_ms, ..
                    },
                ..
            } if upstream.as_str() == name => Some(*for_ms),
            _ => None,
        })
        .collect()
}

/// Sends a number of calls, one every 20 ms.
fn send_calls(mesh: &mut Mesh, calls: u64) {
    for content in 0..calls {
        mesh.call(0, engine_call(0, content, 10, 10));
        mesh.run_ms(20);
    }
}

/// Counts the runs on an upstream since `from_us`.
fn count_runs(mesh: &Mesh, name: &str, from_us: u64) -> usize {
    let events = mesh.trace.events.iter();
    events
        .filter(|(at_us, event)| {
            *at_us >= from_us
                && matches!(event, TraceEvent::Executed { dispatch, .. }
                    if dispatch.upstream.as_str() == name)
        })
        .count()
}

#[test]
fn ejection_time_doubles() {
    let mut mesh = Mesh::new(1, engine_fleet(4, 8, 1), 1);
    mesh.engines.failing.insert(UpstreamName::from("engine-1"));
    mesh.run_ms(100);
    send_calls(&mut mesh, 2_500);
    let times_ms = ejection_times_ms(&mesh, "engine-1");
    assert!(times_ms.len() >= 3, "{times_ms:?}");
    assert!(
        times_ms.windows(2).all(|pair| pair[1] == 2 * pair[0]),
        "{times_ms:?}"
    );
    // One trial call after each ejection instead of one call in four.
    assert!(count_runs(&mesh, "engine-1", 0) <= 5 + times_ms.len());
}

#[test]
fn ejects_at_most_half() {
    let mut mesh = Mesh::new(1, engine_fleet(4, 8, 1), 1);
    mesh.engines.failing = (0..4)
        .map(|number| UpstreamName::from(format!("engine-{number}")))
        .collect();
    mesh.run_ms(100);
    send_calls(&mut mesh, 200);
    let control = mesh.control(0).expect("VM runs");
    let (_, pool) = control.tables().pools.iter().next().expect("pool");
    assert_eq!(pool.ejected.len(), 2);
}

#[test]
fn returns_after_recovery() {
    let mut mesh = Mesh::new(1, engine_fleet(2, 8, 1), 1);
    mesh.engines.failing.insert(UpstreamName::from("engine-1"));
    mesh.run_ms(100);
    send_calls(&mut mesh, 100);
    assert!(!ejection_times_ms(&mesh, "engine-1").is_empty());
    mesh.engines.failing.clear();
    let from_us = mesh.now_us();
    send_calls(&mut mesh, 500);
    assert!(count_runs(&mesh, "engine-1", from_us) > 50);
}
