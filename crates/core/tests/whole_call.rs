//! Guards against a call that is not answered, charged or refused correctly anywhere on its path
//! from arrival to charge record.

use knapweeddale_core::{
    AccountConfig, AccountName, CallId, EngineConfig, FleetConfig, Incarnation, KeyConfig, KeyId,
    ModelName, NewCall, PresentedKey, ProgramName, ProgramTurn, RefusalKind, Revision, Secret256,
    ServiceConfig, ServiceKind, ServiceName, Target, UpstreamConfig, UpstreamName,
};
use knapweeddale_testing::invariants;
use knapweeddale_testing::mesh::Mesh;
use rstest::rstest;

fn fleet() -> FleetConfig {
    let model = ModelName::from("small");
    let account = AccountConfig::builder()
        .name(AccountName::from("aller"))
        .rate_mcalls_per_s(10_000)
        .burst_calls(5)
        .keys(vec![KeyConfig {
            id: KeyId::from("k1"),
            sha256: Secret256([1; 32]),
            withdrawn: false,
        }])
        .build();
    let upstream = UpstreamConfig::builder()
        .name(UpstreamName::from("engine-1"))
        .address("127.0.0.1:1".to_owned())
        .models(vec![model.clone()])
        .build();
    let service = ServiceConfig::builder()
        .name(ServiceName::from("chat"))
        .kind(ServiceKind::Engine(EngineConfig {
            models: vec![model],
            can_resume: false,
            ..EngineConfig::default()
        }))
        .upstreams(vec![upstream])
        .build();
    FleetConfig {
        revision: Revision(1),
        accounts: vec![account],
        services: vec![service],
        ..FleetConfig::default()
    }
}

fn call(secret: u8, model: &str, turn: u32) -> NewCall {
    NewCall::builder()
        .id(CallId {
            incarnation: Incarnation(0),
            seq: 0,
        })
        .key(PresentedKey {
            id: KeyId::from("k1"),
            sha256: Secret256([secret; 32]),
        })
        .target(Target::Model(ModelName::from(model)))
        .program(ProgramTurn {
            name: ProgramName::from("tour"),
            turn,
            continuation: None,
        })
        .prompt_tokens(100)
        .max_tokens(20)
        .build()
}

#[test]
fn answers_and_charges() {
    let mut mesh = Mesh::new(1, fleet(), 1);
    mesh.run_ms(100);
    let first = mesh.call(0, call(1, "small", 1));
    mesh.run_ms(1_000);
    let answered = mesh.trace.response(first).expect("first turn is answered");
    let continuation = answered
        .continuation
        .as_ref()
        .expect("program has a continuation");
    assert_eq!((continuation.turn, continuation.spent_tokens), (1, 120));
    invariants::charges_reconcile(&mesh.trace).expect("charges");
    invariants::rate_and_burst(&mesh.trace, &fleet()).expect("rate");
}

#[rstest]
#[case::unknown_key(call(2, "small", 1), RefusalKind::KeyUnknown)]
#[case::unknown_model(call(1, "large", 1), RefusalKind::ModelUnknown)]
#[case::later_turn(call(1, "small", 3), RefusalKind::TurnOutOfOrder)]
fn refuses(#[case] call: NewCall, #[case] kind: RefusalKind) {
    let mut mesh = Mesh::new(1, fleet(), 1);
    mesh.run_ms(100);
    let id = mesh.call(0, call);
    mesh.run_ms(5_000);
    let refusal = mesh.trace.refusal(id).expect("call is refused");
    assert_eq!(refusal.kind, kind);
    invariants::refusal_is_true(&mesh.trace).expect("refusal");
}
