//! Guards against engine memory that stays allocated after its program has ended, and against a
//! late release that hits a new program of the same name.

use knapweeddale_core::{ProgramRequestKind, UpstreamName};
use knapweeddale_testing::callers::{Kind, call, fleet, program_key, request};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::{Mesh, TraceEvent};

/// Runs one turn of `tour` and returns the mesh and the VM that is its home.
fn run_one_turn() -> (Mesh, usize) {
    let mut mesh = Mesh::new(3, fleet(100_000, 130), 1);
    mesh.run_ms(2_000);
    let home = mesh.home_of(0, &program_key("tour")).expect("a home");
    mesh.call((home + 1) % 3, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(1_000);
    (mesh, home)
}

/// Counts the releases of a VM that are not confirmed yet.
fn count_unconfirmed(mesh: &Mesh, vm: usize) -> usize {
    mesh.tables(vm).homes.releases.len()
}

#[test]
fn expired_program_is_released() {
    let (mut mesh, home) = run_one_turn();
    mesh.run_ms(601_000);
    assert!(
        !mesh
            .tables(home)
            .programs
            .contains_key(&program_key("tour"))
    );
    assert_eq!(count_unconfirmed(&mesh, home), 0);
    invariants::memory_released(&mesh).expect("memory");
}

#[test]
fn release_is_repeated_until_confirmed() {
    let (mut mesh, home) = run_one_turn();
    let engines = ["engine-1", "engine-2", "engine-3", "engine-4"];
    mesh.engines.ignoring_releases = engines.map(UpstreamName::from).into();
    mesh.program(home, request(ProgramRequestKind::End, "tour", None));
    mesh.run_ms(10_000);
    assert_eq!(
        count_unconfirmed(&mesh, home),
        1,
        "repeated until confirmed"
    );
    mesh.engines.ignoring_releases.clear();
    mesh.run_ms(31_000);
    assert_eq!(count_unconfirmed(&mesh, home), 0);
    invariants::memory_released(&mesh).expect("memory");
}

#[test]
fn release_ends_when_upstream_is_removed() {
    let (mut mesh, home) = run_one_turn();
    let engines = ["engine-1", "engine-2", "engine-3", "engine-4"];
    mesh.engines.ignoring_releases = engines.map(UpstreamName::from).into();
    mesh.program(home, request(ProgramRequestKind::End, "tour", None));
    mesh.run_ms(1_000);
    let mut smaller = fleet(100_000, 130);
    smaller.revision.0 += 1;
    smaller.services[0].upstreams.clear();
    mesh.publish(home, smaller);
    mesh.run_ms(31_000);
    assert_eq!(count_unconfirmed(&mesh, home), 0);
}

#[test]
fn memory_is_released_after_entry_vm_crash() {
    let mut mesh = Mesh::new(5, fleet(100_000, 130), 1);
    mesh.run_ms(2_000);
    let home = mesh.home_of(0, &program_key("tour")).expect("a home");
    let entry = (home + 1) % 5;
    mesh.call(entry, call(Kind::Chat, "tour", 1, 1, None, None));
    mesh.run_ms(50);
    mesh.crash(entry);
    mesh.run_ms(5_000);
    mesh.program(home, request(ProgramRequestKind::End, "tour", None));
    mesh.run_ms(2_000);
    invariants::memory_released(&mesh).expect("released in the whole pool");
}

#[test]
fn new_program_keeps_its_memory() {
    let (mut mesh, home) = run_one_turn();
    let engines = ["engine-1", "engine-2", "engine-3", "engine-4"];
    mesh.engines.ignoring_releases = engines.map(UpstreamName::from).into();
    mesh.program(home, request(ProgramRequestKind::End, "tour", None));
    mesh.run_ms(500);
    let again = mesh.call(home, call(Kind::Chat, "tour", 1, 2, None, None));
    mesh.run_ms(500);
    mesh.engines.ignoring_releases.clear();
    mesh.run_ms(31_000);
    let answered = mesh.trace.response(again).expect("a new program");
    let generation = answered.continuation.as_ref().map(|c| c.generation);
    let is_late = |event: &TraceEvent| {
        matches!(event, TraceEvent::Released { generation: released, .. }
            if Some(*released) == generation)
    };
    assert!(!mesh.trace.events.iter().any(|(_, event)| is_late(event)));
    let row = mesh.tables(home).programs.get(&program_key("tour"));
    assert_eq!(row.map(|row| row.generation), generation);
}

#[test]
fn program_row_stays_small() {
    let (mesh, home) = run_one_turn();
    let row = mesh.tables(home).programs.get(&program_key("tour"));
    let mut row = row.expect("a row").clone();
    assert!(row.row_bytes() < 512, "{} bytes", row.row_bytes());
    let pool = row.unknown_pools.first().cloned();
    let pool = pool.unwrap_or_else(|| knapweeddale_core::PoolKey {
        service: "chat".into(),
        model: Some("small".into()),
    });
    row.unknown_pools = vec![pool];
    while row.served.len() < knapweeddale_core::tables::MAX_SERVED {
        row.served.push("engine-1".into());
    }
    assert!(row.row_bytes() < 512, "{} bytes", row.row_bytes());
}
