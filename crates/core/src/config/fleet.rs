//! Fleet-wide configuration, as published by operators.

use bon::Builder;

use super::{CallerLimits, HostRoute};
use crate::ids::{
    AccountName, DomainName, KeyId, ModelName, RegionName, Revision, Secret256, ServiceName,
    SoftwareVersion, UpstreamName,
};

/// The configuration that operators publish for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct FleetConfig {
    /// The store's version of the write that published it; 0 before any was read.
    pub revision: Revision,
    /// Client accounts with their limits and keys.
    pub accounts: Vec<AccountConfig>,
    /// Services with their upstreams and routes.
    pub services: Vec<ServiceConfig>,
    /// Routes of relayed calls, by host and path.
    #[cfg_attr(feature = "serde", serde(default))]
    pub host_routes: Vec<HostRoute>,
    /// Limits on the requests and connections of callers.
    #[cfg_attr(feature = "serde", serde(default))]
    pub caller_limits: CallerLimits,
}

/// A client account with its rate limit, program limits and keys.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AccountConfig {
    /// Name that is unique in the fleet.
    pub name: AccountName,
    /// Sustained rate over all VMs, in thousandths of a call per second.
    pub rate_mcalls_per_s: u64,
    /// Calls that all VMs together may admit at once.
    pub burst_calls: u64,
    /// Weight in fair sharing of upstreams between accounts; 100 is the default.
    #[builder(default = 100)]
    pub weight_percent: u32,
    /// Token budget of one program.
    #[builder(default = 1_000_000)]
    pub program_tokens: u64,
    /// Highest number of turns of one program.
    #[builder(default = 130)]
    pub program_turns: u32,
    /// Longest duration of one program.
    #[builder(default = 3_600_000)]
    pub program_wall_ms: u64,
    /// Priority of the account's calls, which overrides that of their route; 0 is the highest.
    #[cfg_attr(feature = "serde", serde(default))]
    pub priority: Option<u32>,
    /// Keys that authenticate the account's callers.
    #[builder(default)]
    pub keys: Vec<KeyConfig>,
    /// Regions in which the account's calls may run; empty if they may run anywhere.
    #[builder(default)]
    #[cfg_attr(feature = "serde", serde(default))]
    pub allowed_regions: Vec<RegionName>,
}

/// A caller's key, stored as a digest.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct KeyConfig {
    /// Public part of the key, by which it is looked up.
    pub id: KeyId,
    /// SHA-256 digest of the whole key.
    pub sha256: Secret256,
    /// Whether the key has been withdrawn, so that calls with it are refused.
    pub withdrawn: bool,
}

/// A service: model engines or plain upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServiceConfig {
    /// Name that is unique in the fleet.
    pub name: ServiceName,
    /// Model engines or a plain HTTP service.
    pub kind: ServiceKind,
    /// Upstreams that run the service.
    #[builder(default)]
    pub upstreams: Vec<UpstreamConfig>,
    /// Routes of a plain service; the longest matching prefix wins.
    #[builder(default)]
    pub routes: Vec<RouteConfig>,
    /// Model loads from the weight store that the engines may start per minute.
    #[builder(default = 6)]
    pub weight_loads_per_min: u32,
    /// Timeout for the first byte or token of a response; if absent, the VM's setting.
    pub first_token_ms: Option<u64>,
    /// Timeout for each further byte or token of a response; if absent, the VM's setting.
    pub token_gap_ms: Option<u64>,
    /// How long an upstream is cold after its process has started. What upstreams state themselves
    /// decides; this is the expected time.
    #[builder(default)]
    #[cfg_attr(feature = "serde", serde(default))]
    pub cold_ms: u64,
    /// Rate of calls, in thousandths of a call per second, that a cold upstream takes from all VMs
    /// together; 0 if cold upstreams are not limited.
    #[builder(default)]
    #[cfg_attr(feature = "serde", serde(default))]
    pub cold_mcalls_per_s: u64,
}

/// Kind of a service's upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Engine(EngineConfig),
    /// A plain HTTP service.
    Plain,
}

/// Settings that only model engines have.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EngineConfig {
    /// Models that the service offers.
    pub models: Vec<ModelName>,
    /// Whether an interrupted stream can be resumed on another engine.
    pub can_resume: bool,
    /// Tokens in one event of a stream; 0 if the upstream reports token counts itself.
    #[cfg_attr(feature = "serde", serde(default))]
    pub tokens_per_event: u64,
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UpstreamConfig {
    /// Name that is unique over all services.
    pub name: UpstreamName,
    /// Address as `ip:port`.
    pub address: String,
    /// Models that the upstream should have loaded; empty for plain services.
    #[builder(default)]
    pub models: Vec<ModelName>,
    /// Lower bound of the learned limit of concurrent calls.
    #[builder(default = 1)]
    pub min_running_calls: u32,
    /// Upper bound of the learned limit of concurrent calls.
    #[builder(default = 8)]
    pub max_running_calls: u32,
    /// Whether the upstream refuses orders with an old fencing token.
    #[builder(default)]
    pub checks_fencing: bool,
    /// Whether the upstream is leaving and gets no new calls.
    #[builder(default)]
    pub leaving: bool,
    /// Failure domain, if known.
    #[cfg_attr(feature = "serde", serde(default))]
    pub failure_domain: Option<DomainName>,
    /// Start of the process in Unix time; 0 if unknown.
    #[builder(default)]
    #[cfg_attr(feature = "serde", serde(default))]
    pub started_unix_ms: u64,
    /// Version of its software, if it states one.
    #[cfg_attr(feature = "serde", serde(default))]
    pub software_version: Option<SoftwareVersion>,
    /// Whether its failure domain is evacuated, so that it gets no new calls.
    #[builder(default)]
    #[cfg_attr(feature = "serde", serde(default))]
    pub is_evacuated: bool,
    /// How long it says that it will still be cold; 0 if it is not.
    #[builder(default)]
    #[cfg_attr(feature = "serde", serde(default))]
    pub cold_left_ms: u64,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RouteConfig {
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Methods that the route matches; if empty, all.
    #[builder(default)]
    pub methods: Vec<String>,
    /// Whether a request may run more than once.
    #[builder(default)]
    pub idempotent: bool,
    /// Whether callers need no key.
    #[builder(default)]
    pub open: bool,
}

impl RouteConfig {
    /// Returns whether the route matches the method and path of a request.
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
