//! Guards against calls that an isolated VM admits under a withdrawn key, because it cannot learn
//! of the withdrawal.

use knapweeddale_core::{
    AccountConfig, AccountName, CallId, Execution, FleetConfig, Incarnation, KeyConfig, KeyId,
    NewCall, PresentedKey, RefusalKind, Revision, RouteConfig, Secret256, ServiceConfig,
    ServiceKind, ServiceName, Target, UpstreamConfig, UpstreamName,
};
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::seeds;

fn fleet(revision: u64, withdrawn: bool) -> FleetConfig {
    let key = KeyConfig {
        id: KeyId::from("k1"),
        sha256: Secret256([1; 32]),
        withdrawn,
    };
    let account = AccountConfig::builder()
        .name(AccountName::from("aller"))
        .rate_mcalls_per_s(1_000_000)
        .burst_calls(1_000)
        .keys(vec![key])
        .build();
    let route = |path: &str, open: bool| {
        RouteConfig::builder()
            .path_prefix(path.to_owned())
            .idempotent(true)
            .open(open)
            .build()
    };
    let service = ServiceConfig::builder()
        .name(ServiceName::from("weather"))
        .kind(ServiceKind::Plain)
        .upstreams(vec![
            UpstreamConfig::builder()
                .name(UpstreamName::from("weather-1"))
                .address("127.0.0.1:1".to_owned())
                .build(),
        ])
        .routes(vec![route("/keyed", false), route("/open", true)])
        .build();
    FleetConfig {
        revision: Revision(revision),
        accounts: vec![account],
        services: vec![service],
        ..FleetConfig::default()
    }
}

fn call(path: &str, key: bool) -> NewCall {
    let call = NewCall::builder()
        .id(CallId {
            incarnation: Incarnation(0),
            seq: 0,
        })
        .maybe_key(key.then(|| PresentedKey {
            id: KeyId::from("k1"),
            sha256: Secret256([1; 32]),
        }))
        .target(Target::Plain {
            service: ServiceName::from("weather"),
            method: "GET".to_owned(),
            path: path.to_owned(),
        });
    call.prompt_tokens(0).max_tokens(0).build()
}

/// Sends a call and returns the kind of its refusal, if it is refused at once.
fn refusal_kind(mesh: &mut Mesh, vm: usize, call: NewCall) -> Option<RefusalKind> {
    let id = mesh.call(vm, call);
    mesh.run_ms(1);
    let refusal = mesh.trace.refusal(id)?;
    assert_eq!(refusal.ran, Execution::NotRun);
    Some(refusal.kind)
}

#[test]
fn isolated_vm_refuses() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(8, 3, fleet(1, false), seed);
        mesh.run_ms(5_000);
        let writers = mesh.writers(0);
        let isolated: Vec<_> = (0..8).filter(|vm| !writers.contains(vm)).take(3).collect();
        let others: Vec<_> = (0..8).filter(|vm| !isolated.contains(vm)).collect();
        mesh.partition(&isolated, &others);
        let withdrawn = fleet(2, true);
        others
            .iter()
            .for_each(|&vm| mesh.publish(vm, withdrawn.clone()));
        // A withdrawn key stops working within 5 s on every VM.
        mesh.run_ms(4_900);
        for vm in 0..8 {
            let kind = refusal_kind(&mut mesh, vm, call("/keyed", true));
            let expected = if isolated.contains(&vm) {
                RefusalKind::Isolated
            } else {
                RefusalKind::KeyWithdrawn
            };
            assert_eq!(kind, Some(expected), "seed {seed}: VM {vm}");
        }
        assert_eq!(
            refusal_kind(&mut mesh, isolated[0], call("/open", false)),
            None
        );
        mesh.heal();
        mesh.run_ms(10_000);
        for vm in 0..8 {
            let kind = refusal_kind(&mut mesh, vm, call("/keyed", true));
            assert_eq!(
                kind,
                Some(RefusalKind::KeyWithdrawn),
                "seed {seed}: VM {vm}"
            );
        }
    }
}

#[test]
fn outage_refuses_nothing() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(8, 3, fleet(1, false), seed);
        mesh.run_ms(5_000);
        mesh.store.is_down = true;
        for _ in 0..60 {
            mesh.run_ms(500);
            for vm in 0..8 {
                let kind = refusal_kind(&mut mesh, vm, call("/keyed", true));
                assert_eq!(kind, None, "seed {seed}: VM {vm}");
            }
        }
    }
}
