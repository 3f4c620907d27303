//! Settings of one VM and the published configuration of the fleet.

mod fleet;
mod settings;

pub use fleet::{
    AccountConfig, EngineConfig, FleetConfig, KeyConfig, RouteConfig, ServiceConfig, ServiceKind,
    UpstreamConfig,
};
pub use settings::{CoreSettings, PolicyParts, PolicyPreset, UpstreamChoice};
