//! Fleet configurations, calls and views shared by tests.

use knapweeddale_core::input::StoredView;
use knapweeddale_core::tables::{Member, View};
use knapweeddale_core::{
    AccountConfig, AccountName, CallId, ContentDigest, DomainName, EngineConfig, Epoch,
    FleetConfig, Incarnation, KeyConfig, KeyId, ModelName, NewCall, PresentedKey, Revision,
    RouteConfig, Secret256, ServiceConfig, ServiceKind, ServiceName, Target, UpstreamConfig,
    UpstreamName, VmName,
};

/// Name of the model that all engines of [`engine_fleet`] serve.
pub const MODEL: &str = "small";

/// Returns a fleet of engines `engine-0`, `engine-1` and so on, with client accounts
/// `account-0` and so on that have keys `key-0` and so on.
pub fn engine_fleet(engines: usize, max_running_calls: u32, accounts: usize) -> FleetConfig {
    let model = ModelName::from(MODEL);
    let upstreams = (0..engines).map(|number| {
        UpstreamConfig::builder()
            .name(UpstreamName::from(format!("engine-{number}")))
            .address(format!("127.0.0.1:{}", number + 1))
            .models(vec![model.clone()])
            .max_running_calls(max_running_calls)
            .build()
    });
    let service = ServiceConfig::builder()
        .name(ServiceName::from("chat"))
        .kind(ServiceKind::Engine(EngineConfig {
            models: vec![model.clone()],
            can_resume: false,
            ..EngineConfig::default()
        }))
        .upstreams(upstreams.collect())
        .build();
    FleetConfig {
        revision: Revision(1),
        accounts: (0..accounts).map(account).collect(),
        services: vec![service],
        ..FleetConfig::default()
    }
}

/// Adds a plain service `pay` with a non-idempotent route `/pay` and an idempotent route `/read`.
pub fn add_plain_service(fleet: &mut FleetConfig, upstreams: usize) {
    let upstreams = (0..upstreams).map(|number| {
        UpstreamConfig::builder()
            .name(UpstreamName::from(format!("pay-{number}")))
            .address(format!("127.0.0.1:{}", number + 100))
            .build()
    });
    let route = |path: &str, idempotent| {
        RouteConfig::builder()
            .path_prefix(path.to_owned())
            .idempotent(idempotent)
            .build()
    };
    let service = ServiceConfig::builder()
        .name(ServiceName::from("pay"))
        .kind(ServiceKind::Plain)
        .upstreams(upstreams.collect())
        .routes(vec![route("/pay", false), route("/read", true)])
        .build();
    fleet.services.push(service);
}

/// Returns an account whose limits are too high for tests to reach.
fn account(number: usize) -> AccountConfig {
    AccountConfig::builder()
        .name(AccountName::from(format!("account-{number}")))
        .rate_mcalls_per_s(1_000_000_000)
        .burst_calls(1_000_000)
        .program_tokens(u64::MAX / 4)
        .program_turns(u32::MAX)
        .program_wall_ms(u64::MAX / 4_000)
        .keys(vec![KeyConfig {
            id: KeyId::from(format!("key-{number}")),
            sha256: Secret256([number as u8; 32]),
            withdrawn: false,
        }])
        .build()
}

/// Returns an engine call of an account, without a program.
pub fn engine_call(account: usize, content: u64, prompt_tokens: u64, max_tokens: u64) -> NewCall {
    NewCall::builder()
        .id(CallId {
            incarnation: Incarnation(0),
            seq: 0,
        })
        .key(PresentedKey {
            id: KeyId::from(format!("key-{account}")),
            sha256: Secret256([account as u8; 32]),
        })
        .target(Target::Model(ModelName::from(MODEL)))
        .prompt_tokens(prompt_tokens)
        .max_tokens(max_tokens)
        .digest(digest(content))
        .build()
}

/// Returns a content digest that encodes a number.
pub fn digest(content: u64) -> ContentDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&content.to_le_bytes());
    ContentDigest(bytes)
}

/// Returns a stored view with some VMs of a mesh at their first incarnation.
///
/// The first two are the writers.
pub fn stored_view(epoch: u64, vms: &[usize]) -> StoredView {
    let members = vms.iter().map(|&number| Member {
        vm: VmName::from(format!("vm-{number}")),
        incarnation: Incarnation(((number as u64 + 1) << 48) | 1),
        failure_domain: DomainName::from(format!("domain-{number}")),
        address: format!("vm-{number}"),
        leaving: false,
        joined: Epoch(1),
    });
    let members: Vec<Member> = members.collect();
    let writers = members.iter().take(2).map(|member| member.vm.clone());
    StoredView {
        view: View {
            epoch: Epoch(epoch),
            writers: writers.collect(),
            members,
        },
        version: epoch,
    }
}
