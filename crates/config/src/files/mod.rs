//! The files that operators write.

mod account;
mod keys;
mod service;

pub use account::{AccountFile, KeyFile};
pub use keys::KeysFile;
pub use service::{Preset, RouteFile, ServiceFile, ServiceKindFile, UpstreamFile};
