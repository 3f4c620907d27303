//! Calls, configurations and recorded results for a [`RelayFleet`](super::RelayFleet).

use std::collections::BTreeMap;
use std::sync::Arc;

use knapweeddale_core::config::{Backend, HostRoute, RouteKind};
use knapweeddale_core::{
    AccountConfig, AccountName, CallId, ContentDigest, DomainName, EngineConfig, FleetConfig,
    KeyConfig, KeyId, ListedUpstream, ModelName, NewCall, PresentedKey, ProgramName, RegionName,
    RelayedCall, Revision, Secret256, ServiceConfig, ServiceKind, ServiceName, SoftwareVersion,
    StreamStart, Target, UpstreamConfig, UpstreamList, UpstreamName,
};
use smallvec::smallvec;

/// Host name of all routes.
const HOST: &str = "north.example";

/// An attempt that was sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// When the attempt was sent.
    pub at_us: u64,
    /// Index of the VM that sent it.
    pub vm: usize,
    /// The call that the attempt belongs to.
    pub call: CallId,
    /// The client account of the call.
    pub account: String,
    /// The upstream that ran it.
    pub upstream: String,
}

/// Tokens that a turn forwarded to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedTokens {
    /// When the turn was sent to its upstream.
    pub at_us: u64,
    /// The program of the turn.
    pub program: String,
    /// The number of tokens.
    pub tokens: u64,
}

/// A call to a relay, with its behaviour on the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCall {
    /// The client account; its key id is the same string.
    pub account: String,
    /// The request path, which selects the route.
    pub path: String,
    /// Program, token budget, maximum tokens of one turn, and sequence of turns; `None` if the call
    /// is no turn.
    pub turn: Option<(String, u64, u64, u64)>,
    /// The program of a call that is no turn, if it belongs to one.
    pub program: Option<String>,
    /// Tokens that the upstream generates.
    pub tokens: u64,
    /// How long it runs on the upstream.
    pub run_ms: u64,
    /// How long its caller waits for the response.
    pub timeout_ms: u64,
    /// Time left until its program should be finished, if its caller states that.
    pub program_deadline_ms: Option<u64>,
    /// Stands for the request body: calls with equal values have equal digests.
    pub content: u8,
    /// Whether it begins a stream or goes on with one.
    pub stream_start: StreamStart,
}

impl RelayCall {
    /// Creates a call to the plain service.
    pub fn tool(account: &str) -> Self {
        Self {
            account: account.to_owned(),
            path: "/tool/x".to_owned(),
            turn: None,
            program: None,
            tokens: 0,
            run_ms: 10,
            timeout_ms: 1_200,
            program_deadline_ms: None,
            content: 0,
            stream_start: StreamStart::New,
        }
    }

    /// Creates a turn of a program that generates a quarter of its maximum tokens.
    pub fn turn(account: &str, program: &str, budget: u64, most: u64) -> Self {
        Self {
            path: "/chat/x".to_owned(),
            turn: Some((program.to_owned(), budget, most, 1)),
            tokens: most / 4,
            run_ms: 100,
            timeout_ms: 3_000,
            ..Self::tool(account)
        }
    }

    /// Converts the call to the core's input.
    pub fn to_new_call(&self, id: CallId, now_us: u64) -> NewCall {
        let turn = self.turn.as_ref();
        let program = turn.map(|(program, ..)| program).or(self.program.as_ref());
        let relayed = RelayedCall::builder()
            .deadline_us(now_us + self.timeout_ms * 1_000)
            .spread_hash(id.seq)
            .maybe_model(turn.map(|_| ModelName::from("m")))
            .maybe_program(program.map(|program| ProgramName::from(program.as_str())))
            .maybe_budget_tokens(turn.map(|(_, budget, ..)| *budget))
            .maybe_line(turn.map(|(.., line)| *line))
            .maybe_program_deadline_us(self.program_deadline_ms.map(|ms| now_us + ms * 1_000))
            .stream_start(self.stream_start.clone())
            .build();
        let mut digest = ContentDigest::default();
        digest.0[0] = self.content;
        NewCall::builder()
            .id(id)
            .key(key(&self.account))
            .target(Target::Host {
                host: Arc::from(HOST),
                path: Arc::from(self.path.as_str()),
            })
            .prompt_tokens(turn.map_or(0, |_| 1_000))
            .max_tokens(turn.map_or(0, |(_, _, most, _)| *most))
            .digest(digest)
            .relayed(Box::new(relayed))
            .build()
    }
}

/// Returns the key of an account, derived from its name.
fn key(account: &str) -> PresentedKey {
    let mut sha256 = [0; 32];
    for (byte, text) in sha256.iter_mut().zip(account.bytes()) {
        *byte = text;
    }
    PresentedKey {
        id: KeyId::from(account),
        sha256: Secret256(sha256),
    }
}

/// Creates an account with a rate in calls per second and a burst in calls.
pub fn account(name: &str, rate_per_s: u64, burst: u64) -> AccountConfig {
    let key = key(name);
    AccountConfig::builder()
        .name(AccountName::from(name))
        .rate_mcalls_per_s(rate_per_s * 1_000)
        .burst_calls(burst)
        .keys(vec![KeyConfig {
            id: key.id,
            sha256: key.sha256,
            withdrawn: false,
        }])
        .build()
}

/// Creates a configuration with an engine service, a plain service and a route to each.
///
/// The streams of `/chat/` and `/talk/` are resumable, and the system keeps the turns of `/talk/`;
/// requests to `/pay/` are not idempotent.
pub fn fleet(revision: u64, accounts: Vec<AccountConfig>) -> FleetConfig {
    let route = |prefix: &str, service: &str, kind: RouteKind| {
        HostRoute::builder()
            .name(Arc::from(prefix))
            .host(Arc::from(HOST))
            .path_prefix(Arc::from(prefix))
            .kind(kind)
            .backends(smallvec![Backend {
                service: ServiceName::from(service),
                weight: 1,
            }])
            .timeout_ms(3_000)
            .objective_ms(200)
            .max_attempts(if kind == RouteKind::Idempotent { 3 } else { 1 })
            .build()
    };
    let engine = ServiceKind::Engine(EngineConfig {
        models: vec![ModelName::from("m")],
        tokens_per_event: 11,
        ..EngineConfig::default()
    });
    let service = |name: &str, kind: ServiceKind| {
        ServiceConfig::builder()
            .name(ServiceName::from(name))
            .kind(kind)
            .build()
    };
    FleetConfig {
        revision: Revision(revision),
        accounts,
        services: vec![
            service("models", engine),
            service("tools", ServiceKind::Plain),
        ],
        host_routes: vec![
            HostRoute {
                history_ms: Some(60_000),
                ..route("/talk/", "models", RouteKind::Stream { resumable: true })
            },
            route("/chat/", "models", RouteKind::Stream { resumable: true }),
            route("/tool/", "tools", RouteKind::Idempotent),
            route("/pay/", "tools", RouteKind::NonIdempotent),
        ],
        ..FleetConfig::default()
    }
}

/// Creates an entry of the upstream list.
pub fn listed_upstream(name: &str, service: &str) -> ListedUpstream {
    let models = if service == "models" {
        vec!["m"]
    } else {
        Vec::new()
    };
    let config = UpstreamConfig::builder()
        .name(UpstreamName::from(name))
        .address(format!("{name}:80"))
        .models(models.into_iter().map(ModelName::from).collect())
        .max_running_calls(64)
        .started_unix_ms(1)
        .build();
    ListedUpstream {
        service: ServiceName::from(service),
        config,
    }
}

/// Returns the region of each failure domain: two in `norte`, one in `sur`.
pub(super) fn regions() -> BTreeMap<DomainName, RegionName> {
    let regions = [("north", "norte"), ("east", "norte"), ("south", "sur")];
    let regions = regions.into_iter();
    regions
        .map(|(domain, region)| (DomainName::from(domain), RegionName::from(region)))
        .collect()
}

/// Creates an upstream list in which the upstreams of each service are spread over failure domains.
pub fn spread_upstreams(revision: u64, domains: &[&str]) -> UpstreamList {
    let mut list = upstreams(revision);
    for (number, row) in list.upstreams.iter_mut().enumerate() {
        let domain = domains[number % domains.len()];
        row.config.failure_domain = Some(DomainName::from(domain));
    }
    list
}

/// Creates an entry of the upstream list for an engine with this version of its software.
pub fn listed_engine(name: &str, version: &str) -> ListedUpstream {
    let mut listed = listed_upstream(name, "models");
    listed.config.software_version = Some(SoftwareVersion::from(version));
    listed
}

/// Creates an upstream list with two engines and two plain upstreams.
pub fn upstreams(revision: u64) -> UpstreamList {
    UpstreamList {
        revision,
        upstreams: vec![
            listed_upstream("engine-1", "models"),
            listed_upstream("engine-2", "models"),
            listed_upstream("tool-1", "tools"),
            listed_upstream("tool-2", "tools"),
        ],
    }
}

/// Adds the service `other-models`, which is like that of the engines.
///
/// # Panics
///
/// Panics if the configuration has no service `models`.
pub fn add_other_models(config: &mut FleetConfig) {
    let mut services = config.services.iter();
    let models = services.find(|row| row.name.as_str() == "models");
    let other = ServiceConfig {
        name: ServiceName::from("other-models"),
        ..models.expect("the service of the engines").clone()
    };
    config.services.push(other);
}
