//! Guards against calls that are lost, counted twice or stuck when messages to the owner of a
//! pool are lost or the owner crashes.

use knapweeddale_core::input::{AttemptProgress, Failure};
use knapweeddale_core::output::PlacementReason;
use knapweeddale_core::{AttemptEvent, Control, Decision, Input, PoolKey, RefusalKind, StoreEvent};
use knapweeddale_testing::fleet::{engine_call, engine_fleet, stored_view};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::{Mesh, TraceEvent};
use knapweeddale_testing::seeds;

/// Makes a mesh whose VMs share a view; returns it with the pool's owner and the other VMs.
fn mesh(engines: usize, max_calls: u32, seed: u64) -> (Mesh, usize, Vec<usize>) {
    let mut mesh = Mesh::new(3, engine_fleet(engines, max_calls, 2), seed);
    let stored = stored_view(1, &[0, 1, 2]);
    mesh.store.stored = Some(stored.clone());
    mesh.run_ms(2_000);
    let owner = stored.view.pool_owner(&pool(&mesh, 0)).expect("owner");
    let owner = mesh.index(owner).expect("owner is in the mesh");
    let others = (0..3).filter(|vm| *vm != owner).collect();
    (mesh, owner, others)
}

/// Returns the key of the engines' pool.
fn pool(mesh: &Mesh, vm: usize) -> PoolKey {
    let tables = control(mesh, vm).tables();
    tables.pools.iter().next().expect("pool").0.clone()
}

fn control(mesh: &Mesh, vm: usize) -> &Control {
    mesh.control(vm).expect("VM runs")
}

/// Stores a view and applies it on its members.
fn apply_view(mesh: &mut Mesh, epoch: u64, members: &[usize]) {
    let stored = stored_view(epoch, members);
    mesh.store.stored = Some(stored.clone());
    for &vm in members {
        let event = StoreEvent::ViewRead(Some(stored.clone()));
        mesh.input(vm, Input::Store(event));
    }
}

/// Asserts that nothing is queued or counted as running at a VM.
fn assert_idle(mesh: &Mesh, vm: usize) {
    let tables = control(mesh, vm).tables();
    assert!(tables.running.is_empty(), "{:?}", tables.running);
    assert!(tables.finishing.is_empty(), "{:?}", tables.finishing);
    for (_, pool) in tables.pools.iter() {
        assert_eq!(pool.iter_waiting().count(), 0);
    }
    for (_, upstream) in tables.upstreams.iter() {
        assert_eq!((upstream.running_calls(), upstream.own_calls), (0, 0));
    }
}

#[test]
fn survives_lost_and_doubled_messages() {
    for seed in seeds() {
        let (mut mesh, owner, others) = mesh(3, 2, seed);
        mesh.faults.lost_per_mille = 100;
        mesh.faults.duplicated_per_mille = 100;
        let mut calls = Vec::new();
        for content in 0..90 {
            let vm = others[content as usize % 2];
            calls.push(mesh.call(vm, engine_call(0, content, 100, 20)));
            mesh.run_ms(30);
        }
        mesh.run_ms(20_000);
        for id in calls {
            assert!(mesh.trace.response(id).is_some(), "seed {seed}: {id}");
        }
        assert_idle(&mesh, owner);
        invariants::charges_reconcile(&mesh.trace).expect("charges");
    }
}

#[test]
fn new_owner_counts_running_calls() {
    let (mut mesh, owner, others) = mesh(2, 3, 1);
    let calls: Vec<_> = (0..6)
        .map(|content| mesh.call(others[0], engine_call(0, content, 100, 1_000)))
        .collect();
    // The last call is sent later, so that it arrives last whatever the message delays.
    mesh.run_ms(5);
    // The limit starts in the middle of its range: two calls on each engine.
    let waiting = mesh.call(others[1], engine_call(0, 100, 100, 10));
    mesh.run_ms(50);
    let before = &control(&mesh, owner).tables().running;
    let running: Vec<_> = before.iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(running.len(), 4);
    mesh.crash(owner);
    apply_view(&mut mesh, 2, &others);
    mesh.run_ms(50);
    let view = stored_view(2, &others).view;
    let next = view.pool_owner(&pool(&mesh, others[0])).expect("owner");
    let next = mesh.index(next).expect("owner is in the mesh");
    for attempt in running {
        assert!(control(&mesh, next).tables().running.contains_key(&attempt));
    }
    mesh.run_ms(40_000);
    for id in calls.into_iter().chain([waiting]) {
        assert!(mesh.trace.response(id).is_some(), "{id}");
    }
    assert_idle(&mesh, next);
}

#[test]
fn places_without_silent_owner() {
    let (mut mesh, owner, others) = mesh(2, 4, 1);
    // The VM needs a share of the rate first: the crashed VM may own the account as well.
    mesh.call(others[0], engine_call(0, 99, 100, 10));
    mesh.run_ms(500);
    mesh.crash(owner);
    let id = mesh.call(others[0], engine_call(0, 1, 100, 10));
    mesh.run_ms(390);
    assert!(mesh.trace.response(id).is_none());
    mesh.run_ms(300);
    assert!(mesh.trace.response(id).is_some());
    let without_owner = mesh.trace.events.iter().any(|(_, event)| {
        matches!(
            event,
            TraceEvent::Decided {
                decision: Decision::Placed {
                    reason: PlacementReason::OwnerSilent,
                    ..
                },
                ..
            }
        )
    });
    assert!(without_owner);
}

#[test]
fn waits_for_busy_owner() {
    let (mut mesh, _, others) = mesh(1, 2, 1);
    for content in 0..20 {
        mesh.call(others[0], engine_call(0, content, 100, 200));
    }
    mesh.run_ms(15_000);
    let without_owner = mesh.trace.events.iter().any(|(_, event)| {
        matches!(
            event,
            TraceEvent::Decided {
                decision: Decision::Placed {
                    reason: PlacementReason::OwnerSilent,
                    ..
                },
                ..
            }
        )
    });
    assert!(
        !without_owner,
        "a queued call left the queue of a live owner"
    );
}

#[test]
fn queue_drops_calls_of_crashed_vm() {
    let (mut mesh, owner, others) = mesh(1, 1, 1);
    let blocker = mesh.call(owner, engine_call(0, 1, 100, 2_000));
    mesh.run_ms(20);
    mesh.call(others[0], engine_call(0, 2, 100, 10));
    mesh.run_ms(20);
    let waiting = |mesh: &Mesh| {
        let tables = control(mesh, owner).tables();
        tables
            .pools
            .iter()
            .map(|(_, pool)| pool.iter_waiting().count())
            .sum::<usize>()
    };
    assert_eq!(waiting(&mesh), 1);
    mesh.crash(others[0]);
    let members: Vec<usize> = (0..3).filter(|vm| *vm != others[0]).collect();
    apply_view(&mut mesh, 2, &members);
    mesh.run_ms(20);
    if stored_view(2, &members)
        .view
        .pool_owner(&pool(&mesh, owner))
        == stored_view(1, &[0, 1, 2])
            .view
            .pool_owner(&pool(&mesh, owner))
    {
        assert_eq!(waiting(&mesh), 0);
    }
    mesh.run_ms(20_000);
    assert!(mesh.trace.response(blocker).is_some());
}

#[test]
fn abandoned_call_leaves_queue() {
    let (mut mesh, owner, others) = mesh(1, 1, 1);
    mesh.call(others[0], engine_call(0, 1, 100, 500));
    mesh.run_ms(5);
    let abandoned = mesh.call(others[1], engine_call(0, 2, 100, 500));
    let last = mesh.call(others[1], engine_call(0, 3, 100, 10));
    mesh.run_ms(50);
    mesh.input(others[1], Input::CallAbandoned(abandoned));
    mesh.run_ms(10_000);
    let refusal = mesh.trace.refusal(abandoned).expect("abandoned call ends");
    assert_eq!(refusal.kind, RefusalKind::CallerGone);
    assert!(mesh.trace.response(last).is_some());
    assert_idle(&mesh, owner);
}

#[test]
fn retries_on_only_upstream() {
    let mut mesh = Mesh::new(1, engine_fleet(1, 4, 1), 1);
    mesh.run_ms(100);
    let id = mesh.call(0, engine_call(0, 1, 100, 10));
    mesh.run_ms(20);
    let attempt = control(&mesh, 0)
        .tables()
        .calls
        .get(&id)
        .expect("call runs")
        .attempt();
    let progress = AttemptProgress::Failed(Failure::UpstreamError { status: 500 });
    mesh.input(0, Input::Attempt(AttemptEvent { attempt, progress }));
    mesh.run_ms(2_000);
    assert!(mesh.trace.response(id).is_some());
}

#[test]
fn long_wait_is_no_upstream_failure() {
    let mut mesh = Mesh::new(1, engine_fleet(1, 1, 1), 1);
    mesh.run_ms(100);
    let mut calls = Vec::new();
    // The calls wait in the queue for longer than the lease of their programs' home lasts.
    for number in 0..5 {
        let mut call = engine_call(0, number, 100, 400);
        call.program = Some(knapweeddale_core::ProgramTurn {
            name: knapweeddale_core::ProgramName::from(format!("tour-{number}")),
            turn: 1,
            continuation: None,
        });
        calls.push(mesh.call(0, call));
    }
    mesh.run_ms(15_000);
    for id in calls {
        assert!(mesh.trace.response(id).is_some(), "{id}");
    }
    let (_, upstream) = control(&mesh, 0)
        .tables()
        .upstreams
        .iter()
        .next()
        .expect("upstream");
    assert_eq!(upstream.health.failures, 0);
}
