//! Settings of one VM and the published configuration of the fleet.

mod fleet;
mod host_route;
mod settings;

pub use fleet::{
    AccountConfig, EngineConfig, FleetConfig, KeyConfig, RouteConfig, ServiceConfig, ServiceKind,
    UpstreamConfig,
};
pub use host_route::{Backend, CallerLimits, HostRoute, RouteKind};
pub use settings::{Coordination, CoreSettings, PolicyFeatures, PolicyPreset, UpstreamChoice};
