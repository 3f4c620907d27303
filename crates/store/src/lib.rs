//! The client of the platform's object API.
//!
//! The API holds objects with versions. A write names the version that the
//! object must have, 0 if it must not exist. A watch waits until an object is
//! newer than a version.

mod api;
mod backoff;
mod counted;
mod error;
mod http;

pub use api::{Object, ObjectApi, ObjectMeta, VmEntry};
pub use backoff::Backoff;
pub use counted::{CallCounts, Counted};
pub use error::StoreError;
pub use http::HttpObjectApi;

/// Key of the published configuration.
pub const CONFIG_KEY: &str = "fleet/config";

/// Key of the view.
pub const VIEW_KEY: &str = "fleet/view";

/// Start of the keys of charge records.
pub const CHARGES_PREFIX: &str = "charges/";
