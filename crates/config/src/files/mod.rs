//! The files that operators write.

mod account;
mod service;

pub use account::{AccountFile, KeyFile};
pub use service::{Preset, RouteFile, ServiceFile, ServiceKindFile, UpstreamFile};
