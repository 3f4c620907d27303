//! The fleet that callers use.

use knapweeddale_core::{
    AccountConfig, AccountName, EngineConfig, FleetConfig, KeyConfig, KeyId, ModelName, ProgramKey,
    ProgramName, Revision, RouteConfig, Secret256, ServiceConfig, ServiceKind, ServiceName,
    UpstreamConfig, UpstreamName,
};

/// Name of the client account that all callers share.
pub const ACCOUNT: &str = "norte";

/// Returns a fleet of one client account, a service of four engines, and a plain service with
/// a non-idempotent and an idempotent route.
pub fn fleet(program_tokens: u64, program_turns: u32) -> FleetConfig {
    let account = AccountConfig::builder()
        .name(AccountName::from(ACCOUNT))
        .rate_mcalls_per_s(100_000_000)
        .burst_calls(100_000)
        .program_tokens(program_tokens)
        .program_turns(program_turns)
        .keys(vec![KeyConfig {
            id: KeyId::from("k1"),
            sha256: Secret256([1; 32]),
            withdrawn: false,
        }])
        .build();
    let model = ModelName::from("small");
    let upstream = |name: &str, models: &[ModelName]| {
        UpstreamConfig::builder()
            .name(UpstreamName::from(name))
            .address(format!("127.0.0.1:{}", name.len()))
            .models(models.to_vec())
            .max_running_calls(64)
            .build()
    };
    let engines = ["engine-1", "engine-2", "engine-3", "engine-4"];
    let chat = ServiceConfig::builder()
        .name(ServiceName::from("chat"))
        .kind(ServiceKind::Engine(EngineConfig {
            models: vec![model.clone()],
            can_resume: false,
            ..EngineConfig::default()
        }))
        .upstreams(
            engines
                .map(|name| upstream(name, std::slice::from_ref(&model)))
                .to_vec(),
        )
        .build();
    let route = |prefix: &str, idempotent: bool| {
        RouteConfig::builder()
            .path_prefix(prefix.to_owned())
            .idempotent(idempotent)
            .build()
    };
    let pages = ServiceConfig::builder()
        .name(ServiceName::from("pages"))
        .kind(ServiceKind::Plain)
        .upstreams(vec![upstream("pager-1", &[]), upstream("pager-2", &[])])
        .routes(vec![route("/send", false), route("/status", true)])
        .build();
    FleetConfig {
        revision: Revision(1),
        accounts: vec![account],
        services: vec![chat, pages],
        ..FleetConfig::default()
    }
}

/// Returns the key of a program of [`ACCOUNT`].
pub fn program_key(program: &str) -> ProgramKey {
    ProgramKey {
        account: AccountName::from(ACCOUNT),
        name: ProgramName::from(program),
    }
}
