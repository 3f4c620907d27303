//! The published configuration of the fleet.

use bon::Builder;

use super::{CallerLimits, HostRoute};
use crate::ids::{
    AccountName, DomainName, KeyId, ModelName, Revision, Secret256, ServiceName, UpstreamName,
};

/// The configuration that operators publish for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct FleetConfig {
    /// The version of the write that published it.
    pub revision: Revision,
    /// Client accounts with their limits and keys.
    pub accounts: Vec<AccountConfig>,
    /// Services with their upstreams and routes.
    pub services: Vec<ServiceConfig>,
    /// Routes by host and path.
    #[cfg_attr(feature = "serde", serde(default))]
    pub host_routes: Vec<HostRoute>,
    /// Bounds of what a caller may send.
    #[cfg_attr(feature = "serde", serde(default))]
    pub caller_limits: CallerLimits,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AccountConfig {
    /// The account's name.
    pub name: AccountName,
    /// Calls admitted over all VMs, in thousandths of a call a second.
    pub rate_mcalls_per_s: u64,
    /// Calls admitted at once over all VMs.
    pub burst_calls: u64,
    /// Weight of the account when upstreams are shared.
    #[builder(default = 100)]
    pub weight_percent: u32,
    /// Tokens that one program may use.
    #[builder(default = 1_000_000)]
    pub program_tokens: u64,
    /// Turns that one program may take.
    #[builder(default = 130)]
    pub program_turns: u32,
    /// Time that one program may take.
    #[builder(default = 3_600_000)]
    pub program_wall_ms: u64,
    /// The rank of the account's calls, in place of that of their route; 0 goes first.
    #[cfg_attr(feature = "serde", serde(default))]
    pub priority: Option<u32>,
    /// Keys of the account.
    #[builder(default)]
    pub keys: Vec<KeyConfig>,
}

/// A caller's key, stored as a digest.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct KeyConfig {
    /// The public part of the key.
    pub id: KeyId,
    /// The digest of the whole key.
    pub sha256: Secret256,
    /// Whether the key has been withdrawn.
    pub withdrawn: bool,
}

/// A service: model engines or plain upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServiceConfig {
    /// The service's name.
    pub name: ServiceName,
    /// Engine or plain, with what only that kind has.
    pub kind: ServiceKind,
    /// The upstreams that run the service.
    #[builder(default)]
    pub upstreams: Vec<UpstreamConfig>,
    /// Routes of a plain service; the longest matching prefix wins.
    #[builder(default)]
    pub routes: Vec<RouteConfig>,
    /// Models that engines may load a minute from the weight store.
    #[builder(default = 6)]
    pub weight_loads_per_min: u32,
    /// Longest wait for the first byte or token; the VM's setting when absent.
    pub first_token_ms: Option<u64>,
    /// Longest pause within a response; the VM's setting when absent.
    pub token_gap_ms: Option<u64>,
}

/// What a service runs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Engine(EngineConfig),
    /// A plain HTTP service.
    Plain,
}

/// What only model engines have.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EngineConfig {
    /// Models that the service offers.
    pub models: Vec<ModelName>,
    /// Whether an interrupted stream can be resumed.
    pub can_resume: bool,
    /// Tokens in one event of a stream; 0 if the upstream states the tokens itself.
    #[cfg_attr(feature = "serde", serde(default))]
    pub tokens_per_event: u64,
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UpstreamConfig {
    /// The upstream's name, unique over all services.
    pub name: UpstreamName,
    /// The address as `ip:port`.
    pub address: String,
    /// Models that the upstream should have loaded; empty for plain services.
    #[builder(default)]
    pub models: Vec<ModelName>,
    /// Lowest limit of calls running at once.
    #[builder(default = 1)]
    pub min_running_calls: u32,
    /// Highest limit of calls running at once.
    #[builder(default = 8)]
    pub max_running_calls: u32,
    /// Whether the upstream refuses orders with an old fencing token.
    #[builder(default)]
    pub checks_fencing: bool,
    /// Whether the upstream is leaving and gets no new calls.
    #[builder(default)]
    pub leaving: bool,
    /// The failure domain, if it is known.
    #[cfg_attr(feature = "serde", serde(default))]
    pub failure_domain: Option<DomainName>,
    /// The start of the process in Unix time; 0 if it is not known.
    #[builder(default)]
    #[cfg_attr(feature = "serde", serde(default))]
    pub started_unix_ms: u64,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RouteConfig {
    /// The start of the path that the route matches.
    pub path_prefix: String,
    /// Methods that the route matches; empty for all.
    #[builder(default)]
    pub methods: Vec<String>,
    /// Whether a request may run more than once.
    #[builder(default)]
    pub idempotent: bool,
    /// Whether the route is open to callers without a key.
    #[builder(default)]
    pub open: bool,
}

impl RouteConfig {
    /// Returns whether the route matches a request.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        path.starts_with(&self.path_prefix)
            && (self.methods.is_empty() || self.methods.iter().any(|m| m == method))
    }
}

impl ServiceConfig {
    /// Returns the route with the longest prefix that matches a request.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteConfig> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns whether the service offers a model.
    pub fn offers(&self, model: &ModelName) -> bool {
        match &self.kind {
            ServiceKind::Engine(engine) => engine.models.contains(model),
            ServiceKind::Plain => false,
        }
    }
}
