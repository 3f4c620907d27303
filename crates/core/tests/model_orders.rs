//! Guards against engines that execute orders of a former owner, two owners that send orders at
//! once, more model loads than the weight store can serve, and calls placed on an engine before
//! its model is loaded.

use knapweeddale_core::output::OrderAction;
use knapweeddale_core::{FleetConfig, ModelName, ServiceName, UpstreamName};
use knapweeddale_testing::fleet::{engine_call, engine_fleet};
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::seeds;

/// Timeout of an order, as in the default settings.
const ORDER_MS: u64 = 30_000;

/// Makes a fleet of three engines, which check fencing tokens or not.
fn fleet(checks_fencing: bool) -> FleetConfig {
    let mut fleet = engine_fleet(3, 4, 2);
    for service in &mut fleet.services {
        service.weight_loads_per_min = 60;
        for upstream in &mut service.upstreams {
            upstream.checks_fencing = checks_fencing;
        }
    }
    fleet
}

/// Starts five VMs and three engines without a model.
fn mesh(checks_fencing: bool, seed: u64) -> Mesh {
    let fleet = fleet(checks_fencing);
    let mut mesh = Mesh::with_domains(5, 3, fleet.clone(), seed);
    for upstream in &fleet.services[0].upstreams {
        mesh.orders.loaded.insert(upstream.name.clone(), Vec::new());
        if !checks_fencing {
            mesh.orders.unfenced.push(upstream.name.clone());
        }
    }
    mesh
}

/// Returns the VM that owns the orders, as `vm` knows it.
fn find_owner(mesh: &Mesh, vm: usize) -> usize {
    let service = ServiceName::from("chat");
    let owner = mesh.tables(vm).view.orders_owner(&service);
    mesh.index(owner.expect("owner"))
        .expect("owner is in the mesh")
}

/// Asserts that no engine executed an order with a lower token after a higher one.
fn assert_tokens_ascend(mesh: &Mesh, seed: u64) {
    let mut last = std::collections::BTreeMap::new();
    for (at_us, order) in &mesh.orders.executed {
        let before = last.insert(order.upstream.clone(), order.token);
        let is_old = before.is_some_and(|before| before > order.token);
        assert!(!is_old, "seed {seed}: {order:?} at {at_us} us");
    }
}

/// Publishes a configuration with a further model on all engines.
fn add_model(mesh: &mut Mesh, checks_fencing: bool) {
    let mut fleet = fleet(checks_fencing);
    fleet.revision.0 += 1;
    let large = ModelName::from("large");
    for service in &mut fleet.services {
        if let knapweeddale_core::ServiceKind::Engine(engine) = &mut service.kind {
            engine.models.push(large.clone());
        }
        for upstream in &mut service.upstreams {
            upstream.models.push(large.clone());
        }
    }
    for vm in 0..5 {
        mesh.publish(vm, fleet.clone());
    }
}

#[test]
fn placed_once_loaded() {
    let mut mesh = mesh(true, 1);
    mesh.run_ms(5_000);
    mesh.report_models();
    mesh.run_ms(10);
    let id = mesh.call(0, engine_call(0, 1, 100, 10));
    mesh.run_ms(100);
    assert!(mesh.trace.response(id).is_none() && mesh.trace.refusal(id).is_none());
    mesh.run_with_reports_ms(20_000);
    assert!(mesh.trace.response(id).is_some());
    let small = ModelName::from("small");
    assert!(
        mesh.orders
            .loaded
            .values()
            .all(|models| *models == [small.clone()])
    );
}

#[test]
fn loads_are_spread() {
    let mut mesh = mesh(true, 1);
    mesh.run_with_reports_ms(30_000);
    let times_us: Vec<u64> = mesh
        .orders
        .executed
        .iter()
        .map(|(at_us, _)| *at_us)
        .collect();
    assert_eq!(times_us.len(), 3);
    // 60 loads a minute.
    for pair in times_us.windows(2) {
        assert!(pair[1] - pair[0] >= 999_000, "{times_us:?}");
    }
}

#[test]
fn paused_owner_sends_no_late_order() {
    for checks_fencing in [true, false] {
        for seed in seeds() {
            let mut mesh = mesh(checks_fencing, seed);
            mesh.run_with_reports_ms(60_000);
            // Orders take nearly their whole timeout.
            mesh.orders.delay_us = (ORDER_MS - 1_000) * 1_000;
            let old = find_owner(&mesh, 0);
            add_model(&mut mesh, checks_fencing);
            mesh.run_with_reports_ms(1_500);
            mesh.pause(old, 20_000_000);
            mesh.run_with_reports_ms(15_000);
            mesh.orders.delay_us = 1_000;
            mesh.run_with_reports_ms(120_000);
            assert_tokens_ascend(&mesh, seed);
            let large = ModelName::from("large");
            let all = mesh
                .orders
                .loaded
                .values()
                .all(|models| models.contains(&large));
            assert!(all, "seed {seed}: {:?}", mesh.orders.loaded);
        }
    }
}

#[test]
fn lost_answers_only_repeat_orders() {
    for seed in seeds() {
        let mut mesh = mesh(false, seed);
        mesh.orders.lost_responses_per_mille = 500;
        mesh.run_with_reports_ms(200_000);
        assert_tokens_ascend(&mesh, seed);
        let small = ModelName::from("small");
        assert!(
            mesh.orders
                .loaded
                .values()
                .all(|models| *models == [small.clone()])
        );
    }
}

#[test]
fn keeps_models_in_use() {
    let mut mesh = mesh(true, 1);
    mesh.run_with_reports_ms(20_000);
    let extra = ModelName::from("old");
    let engine = UpstreamName::from("engine-0");
    for content in 0..12 {
        mesh.call(0, engine_call(0, content, 100, 1_000));
    }
    mesh.run_with_reports_ms(1_500);
    let models = mesh.orders.loaded.get_mut(&engine).expect("engine");
    models.push(extra.clone());
    mesh.run_with_reports_ms(2_500);
    let unloads = |mesh: &Mesh| {
        let orders = mesh.orders.executed.iter();
        orders
            .filter(|(_, order)| order.action == OrderAction::Unload(extra.clone()))
            .count()
    };
    assert_eq!(unloads(&mesh), 0);
    mesh.run_with_reports_ms(60_000);
    assert_eq!(unloads(&mesh), 1);
}
