//! Service files (`*.service.yaml`).

use knapweeddale_core::{
    EngineConfig, ModelName, RouteConfig, ServiceConfig, ServiceKind, ServiceName, UpstreamConfig,
    UpstreamName,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ConfigError;

/// A service with its upstreams and routes, as in `*.service.yaml`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceFile {
    /// Name of the service, unique in the fleet.
    pub service: String,
    /// Whether the upstreams are model engines or plain HTTP servers.
    pub kind: ServiceKindFile,
    /// Models that the service offers; only for engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
    /// Whether an interrupted stream can be resumed; only for engines.
    #[serde(default)]
    pub can_resume: bool,
    /// Upstreams that serve the calls of the service.
    pub upstreams: Vec<UpstreamFile>,
    /// Routes to the service; only for plain services. The longest matching path wins.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteFile>,
    /// Maximum number of model loads per minute from the weight store.
    #[serde(default = "default_weight_loads_per_min")]
    pub weight_loads_per_min: u32,
    /// Timeout for the first byte or token of a response; the VM's setting when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// Timeout for each further byte or token of a response; the VM's setting when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_gap_ms: Option<u64>,
}

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKindFile {
    /// Model engines that stream tokens.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Objective that the placement policy favours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// Fair shares between client accounts first.
    FairShare,
    /// Low program latency first.
    Latency,
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct UpstreamFile {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Address of the upstream, as `ip:port`.
    pub address: String,
    /// Models that the upstream should have loaded; all models of the service when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
    /// Lower bound of the learned limit of concurrent calls.
    #[serde(default = "default_min_running_calls")]
    pub min_running_calls: u32,
    /// Upper bound of the learned limit of concurrent calls.
    #[serde(default = "default_max_running_calls")]
    pub max_running_calls: u32,
    /// Whether the upstream refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the upstream is being removed and receives no new calls.
    #[serde(default)]
    pub leaving: bool,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteFile {
    /// Path prefix that a request must match, in whole segments.
    pub path: String,
    /// HTTP methods in upper case; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether callers without a key may use the route.
    #[serde(default)]
    pub open: bool,
}

fn default_weight_loads_per_min() -> u32 {
    6
}

fn default_min_running_calls() -> u32 {
    1
}

fn default_max_running_calls() -> u32 {
    8
}

impl ServiceFile {
    /// Parses the text of a service file; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns an error with the line of the first unknown, missing or mistyped field.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        serde_norway::from_str(text).map_err(|error| ConfigError::from_yaml(file, &error))
    }

    /// Converts the service to the core's configuration.
    pub(crate) fn to_core(&self) -> ServiceConfig {
        let to_model_names =
            |names: &[String]| names.iter().map(|n| ModelName::from(n.as_str())).collect();
        let kind = match self.kind {
            ServiceKindFile::Engine => ServiceKind::Engine(EngineConfig {
                models: to_model_names(&self.models),
                can_resume: self.can_resume,
                ..EngineConfig::default()
            }),
            ServiceKindFile::Plain => ServiceKind::Plain,
        };
        let upstreams = self.upstreams.iter().map(|upstream| {
            let names = if upstream.models.is_empty() {
                &self.models
            } else {
                &upstream.models
            };
            upstream.to_core(to_model_names(names))
        });
        ServiceConfig::builder()
            .name(ServiceName::from(self.service.as_str()))
            .kind(kind)
            .upstreams(upstreams.collect())
            .routes(self.routes.iter().map(RouteFile::to_core).collect())
            .weight_loads_per_min(self.weight_loads_per_min)
            .maybe_first_token_ms(self.first_token_ms)
            .maybe_token_gap_ms(self.token_gap_ms)
            .build()
    }
}

impl UpstreamFile {
    /// Converts the upstream to the core's configuration, with the models that it should load.
    fn to_core(&self, models: Vec<ModelName>) -> UpstreamConfig {
        UpstreamConfig::builder()
            .name(UpstreamName::from(self.name.as_str()))
            .address(self.address.clone())
            .models(models)
            .min_running_calls(self.min_running_calls)
            .max_running_calls(self.max_running_calls)
            .checks_fencing(self.checks_fencing)
            .leaving(self.leaving)
            .build()
    }
}

impl RouteFile {
    /// Converts the route to the core's configuration.
    fn to_core(&self) -> RouteConfig {
        RouteConfig::builder()
            .path_prefix(self.path.clone())
            .methods(self.methods.clone())
            .idempotent(self.idempotent)
            .open(self.open)
            .build()
    }
}
