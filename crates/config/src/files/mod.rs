//! Service, account and keys files that operators publish.

mod account;
mod keys;
mod service;

pub use account::{AccountFile, KeyFile};
pub use keys::KeysFile;
pub use service::{Preset, RouteFile, ServiceFile, ServiceKindFile, UpstreamFile};
