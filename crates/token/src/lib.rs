//! Keys, digests and signed continuations of knapweeddale.
//!
//! This crate parses and verifies the texts that callers send, and encodes and
//! signs values for them. It does no I/O and uses no randomness.
//!
//! # Examples
//!
//! ```
//! use knapweeddale_core::input::Continuation;
//! use knapweeddale_token::{CallerKey, Signer};
//!
//! let key: CallerKey = "kwd_desk_0123456789abcdefghijABCDEFGHIJ01".parse()?;
//! assert_eq!(key.id().as_str(), "desk");
//!
//! let signer = Signer::new(b"a secret that all VMs of the fleet share")?;
//! let error = signer.verify::<Continuation>("AQE").unwrap_err();
//! assert!(error.to_string().contains("kwd-continuation"));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod content;
mod encoding;
mod history;
mod key;
mod signer;
mod value;

pub use content::content_digest;
pub use encoding::{DecodeError, Decoder, Encoder};
pub use history::HistoryChain;
pub use key::{CallerKey, KeyError};
pub use signer::{SecretError, Signer, TokenError, derive_secret, secrets_match};
pub use value::SignedValue;
