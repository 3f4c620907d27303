//! Client for the platform's object API.
//!
//! The API stores versioned objects. A write specifies the version that the
//! object must have, 0 if it must not exist. A watch waits until the version of
//! an object exceeds a given one.

mod api;
mod backoff;
mod counting;
mod error;
mod http;

pub use api::{Object, ObjectApi, ObjectMeta, VmEntry};
pub use backoff::Backoff;
pub use counting::{CallCounts, CountingApi};
pub use error::StoreError;
pub use http::{HttpObjectApi, StoreBody, body_limiter, read_body, read_json};

/// Key of the published fleet configuration.
pub const CONFIG_KEY: &str = "fleet/config";

/// Key of the membership view.
pub const VIEW_KEY: &str = "fleet/view";

/// Prefix of the keys of charge records.
pub const CHARGES_PREFIX: &str = "charges/";
