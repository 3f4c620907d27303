//! Settings of the entry daemon and configuration files of the fleet.
//!
//! Operators keep a `*.service.yaml` file beside each service's code and a
//! `*.account.yaml` file for each client account; the operator command writes
//! keys to `*.keys.yaml`. [`Document`] collects and checks these files;
//! [`Settings`] holds the settings of one VM.
//!
//! # Examples
//!
//! ```
//! use knapweeddale_config::{Document, ServiceFile};
//!
//! let service = ServiceFile::parse(
//!     "booking.service.yaml",
//!     "service: booking
//! kind: plain
//! upstreams:
//!   - {name: booking-1, address: '127.0.0.1:9001'}
//! routes:
//!   - {path: /search, methods: [GET], idempotent: true}
//! ",
//! )?;
//! let document = Document { services: vec![service], accounts: Vec::new() };
//! assert!(document.check().is_empty());
//! # Ok::<(), knapweeddale_config::ConfigError>(())
//! ```

mod check;
mod diff;
mod document;
mod error;
mod files;
mod settings;

pub use check::Finding;
pub use diff::{Change, diff};
pub use document::{Document, MAX_DOCUMENT_BYTES};
pub use error::{ConfigError, ConfigErrorKind};
pub use files::{
    AccountFile, KeyFile, KeysFile, Preset, RouteFile, ServiceFile, ServiceKindFile, UpstreamFile,
};
pub use settings::{LogFormat, Settings};
