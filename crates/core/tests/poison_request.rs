//! Guards against a request that crashes every upstream that runs it, and against quarantine of
//! the requests that merely ran at the same time.

use knapweeddale_core::input::{AttemptProgress, Failure};
use knapweeddale_core::{
    AttemptEvent, CallId, CoreSettings, Decision, Input, RefusalKind, UpstreamName,
};
use knapweeddale_testing::fleet::{digest, engine_call, engine_fleet, stored_view};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::{Mesh, TraceEvent};
use knapweeddale_testing::seeds;

/// Content of the request that crashes upstreams.
const POISON: u64 = 666;

/// Makes a mesh of VMs whose view is stored from the start.
fn mesh(vms: usize, seed: u64) -> Mesh {
    let mut mesh = Mesh::with_settings(vms, engine_fleet(6, 4, 2), seed, |vm, incarnation| {
        CoreSettings::builder()
            .address(vm.to_string())
            .vm(vm)
            .incarnation(incarnation)
            .build()
    });
    let members: Vec<usize> = (0..vms).collect();
    mesh.store.stored = Some(stored_view(1, &members));
    mesh.engines.poison.insert(digest(POISON));
    mesh.run_ms(2_000);
    mesh
}

/// Counts the crashes of all upstreams.
fn count_crashes(mesh: &Mesh) -> u64 {
    mesh.engines.crashes.values().sum()
}

/// Sends harmless calls with different contents to all VMs in turn.
fn send_harmless(mesh: &mut Mesh, vms: usize, calls: u64) -> Vec<CallId> {
    let call = |content| engine_call(0, content, 500, 100);
    (0..calls)
        .map(|content| mesh.call(content as usize % vms, call(content)))
        .collect()
}

/// Returns the time at which an attempt of a call last ran.
fn last_run_us(mesh: &Mesh, id: CallId) -> Option<u64> {
    mesh.trace
        .events
        .iter()
        .filter_map(|(at_us, event)| match event {
            TraceEvent::Executed { call, .. } if call.id == id => Some(*at_us),
            _ => None,
        })
        .next_back()
}

#[test]
fn quarantined_after_three_crashes() {
    for seed in seeds() {
        let mut mesh = mesh(1, seed);
        let harmless = send_harmless(&mut mesh, 1, 12);
        let poison = mesh.call(0, engine_call(1, POISON, 500, 100));
        mesh.run_ms(40_000);
        assert_eq!(count_crashes(&mesh), 3, "seed {seed}");
        for id in harmless {
            assert!(mesh.trace.response(id).is_some(), "seed {seed}: {id}");
        }
        let refusal = mesh.trace.refusal(poison).expect("poison is refused");
        assert_eq!(refusal.kind, RefusalKind::Quarantined);
        invariants::refusal_is_true(&mesh.trace).expect("refusals are true");
        invariants::charges_reconcile(&mesh.trace).expect("charges");
    }
}

#[test]
fn resent_through_other_vms() {
    for seed in seeds() {
        let mut mesh = mesh(4, seed);
        mesh.faults.lost_per_mille = 20;
        mesh.faults.duplicated_per_mille = 20;
        let mut harmless = Vec::new();
        for round in 0..30 {
            let vm = round % 4;
            mesh.call(vm, engine_call(1, POISON, 500, 100));
            harmless.extend(send_harmless(&mut mesh, 4, 4));
            mesh.run_ms(700);
        }
        mesh.run_ms(60_000);
        // Copies that already run elsewhere before the first crash could crash more upstreams;
        // here they are sent one after another.
        assert!(
            count_crashes(&mesh) <= 3,
            "seed {seed}: {}",
            count_crashes(&mesh)
        );
        for id in harmless {
            assert!(mesh.trace.response(id).is_some(), "seed {seed}: {id}");
        }
        invariants::refusal_is_true(&mesh.trace).expect("refusals are true");
    }
}

#[test]
fn harmless_call_waits_for_exclusive_run_only() {
    for seed in seeds() {
        let mut mesh = mesh(1, seed);
        let start_us = mesh.now_us();
        let harmless = send_harmless(&mut mesh, 1, 10);
        mesh.call(0, engine_call(1, POISON, 500, 100));
        mesh.run_ms(40_000);
        // Two crashes with their examination, the drain of an upstream and the exclusive run.
        let run_us = 1_000 + 500 * 20 + 100 * 5_000;
        let bound_us = start_us + 4 * run_us;
        for id in harmless {
            let last_us = last_run_us(&mesh, id).expect("harmless call ran");
            assert!(last_us <= bound_us, "seed {seed}: {id} at {last_us} us");
        }
    }
}

#[test]
fn quarantine_reaches_all_vms() {
    let mut mesh = mesh(3, 1);
    mesh.call(0, engine_call(1, POISON, 500, 100));
    mesh.run_ms(20_000);
    for vm in 0..3 {
        let before = count_crashes(&mesh);
        let id = mesh.call(vm, engine_call(1, POISON, 500, 100));
        mesh.run_ms(1);
        let refusal = mesh.trace.refusal(id).expect("refused at admission");
        assert_eq!(refusal.kind, RefusalKind::Quarantined);
        assert_eq!(count_crashes(&mesh), before);
    }
}

#[test]
fn lost_connection_is_no_crash() {
    let mut mesh = mesh(1, 1);
    // Calls with the same harmless content lose their connections one after another.
    for _ in 0..5 {
        let id = mesh.call(0, engine_call(0, 7, 500, 400));
        mesh.run_ms(100);
        for _ in 0..2 {
            let calls = &mesh.control(0).expect("VM runs").tables().calls;
            let attempt = calls.get(&id).expect("call runs").attempt();
            let lost = AttemptProgress::Failed(Failure::ConnectionLost {
                answer_tokens: 0,
                forwarded: false,
            });
            let event = AttemptEvent {
                attempt,
                progress: lost,
            };
            mesh.input(0, Input::Attempt(event));
            mesh.run_ms(50);
        }
        mesh.run_ms(10_000);
        assert!(mesh.trace.response(id).is_some(), "call {id} completes");
    }
    let counts_as_crash = mesh.trace.events.iter().any(|(_, event)| {
        matches!(
            event,
            TraceEvent::Decided {
                decision: Decision::Crashed { .. } | Decision::Quarantined { .. },
                ..
            }
        )
    });
    assert!(!counts_as_crash, "a broken connection counted as a crash");
    let suspects = &mesh.control(0).expect("VM runs").tables().suspects;
    assert!(suspects.is_empty());
    assert!(
        !mesh
            .engines
            .crashes
            .contains_key(&UpstreamName::from("engine-0"))
    );
}

#[test]
fn crash_count_outlives_owner() {
    for seed in seeds() {
        let mut mesh = mesh(3, seed);
        let view = stored_view(1, &[0, 1, 2]).view;
        let control = mesh.control(0).expect("VM runs");
        let pool = control
            .tables()
            .pools
            .iter()
            .next()
            .expect("pool")
            .0
            .clone();
        let owner = mesh.index(view.pool_owner(&pool).expect("owner"));
        let owner = owner.expect("owner is a VM of the mesh");
        let others: Vec<usize> = (0..3).filter(|vm| *vm != owner).collect();
        mesh.call(others[0], engine_call(1, POISON, 500, 100));
        mesh.run_ms(30);
        // The owner dies after at least one crash; the entry VM keeps the count.
        let before = count_crashes(&mesh);
        assert!(before >= 1, "seed {seed}");
        mesh.crash(owner);
        let stored = stored_view(2, &others);
        for &vm in &others {
            let event = knapweeddale_core::StoreEvent::ViewRead(Some(stored.clone()));
            mesh.input(vm, Input::Store(event));
        }
        for round in 0..20 {
            mesh.call(others[round % 2], engine_call(1, POISON, 500, 100));
            mesh.run_ms(1_000);
        }
        mesh.run_ms(30_000);
        assert!(
            count_crashes(&mesh) <= 3,
            "seed {seed}: {}",
            count_crashes(&mesh)
        );
    }
}
