//! Guards against a call that is neither answered nor refused because the owner of its pool selects
//! an upstream that its entry VM has removed already.

use knapweeddale_core::message::PeerMessage;
use knapweeddale_core::{FleetConfig, PoolKey, Revision, UpstreamName};
use knapweeddale_testing::fleet::{engine_call, engine_fleet, stored_view};
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::seeds;
use rstest::rstest;

/// Returns a configuration in which other engines have replaced those of the first one.
fn replaced_fleet() -> FleetConfig {
    let mut fleet = engine_fleet(2, 8, 1);
    fleet.revision = Revision(2);
    for (number, row) in fleet.services[0].upstreams.iter_mut().enumerate() {
        row.name = UpstreamName::from(format!("next-{number}"));
    }
    fleet
}

/// Guards against a call that waits for ever after the entry VM has read a new configuration a
/// moment before the owner of the pool.
#[rstest]
fn owner_behind() {
    for seed in seeds() {
        let mut mesh = Mesh::new(3, engine_fleet(2, 8, 1), seed);
        let stored = stored_view(1, &[0, 1, 2]);
        mesh.store.stored = Some(stored.clone());
        mesh.run_ms(2_000);
        let tables = mesh.control(0).expect("VM runs").tables();
        let pool: PoolKey = tables.pools.iter().next().expect("pool").0.clone();
        let owner = stored.view.pool_owner(&pool).expect("owner");
        let owner = mesh.index(owner).expect("owner is in the mesh");
        let entry = (owner + 1) % 3;
        mesh.drop_rules.push((
            |message| matches!(message, PeerMessage::Config(_)),
            u32::MAX,
        ));
        mesh.publish(entry, replaced_fleet());
        mesh.run_ms(20);
        let call = mesh.call(entry, engine_call(0, 1, 100, 100));
        mesh.run_ms(50);
        mesh.drop_rules.clear();
        mesh.publish(owner, replaced_fleet());
        mesh.run_ms(60_000);
        let has_ended = mesh.trace.response(call).is_some() || mesh.trace.refusal(call).is_some();
        assert!(has_ended, "seed {seed}: {call} waits");
    }
}
