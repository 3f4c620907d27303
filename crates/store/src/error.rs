//! Errors of the platform's object API.

use derive_more::{Display, Error};

/// A failed call to the platform's object API.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The object has another version than the write named.
    #[display("{key:?} has version {current}; read it and decide again")]
    Conflict {
        /// The key of the object.
        key: String,
        /// The version that the object has.
        current: u64,
    },
    /// The store did not answer, or the answer was lost; a write may have taken effect.
    #[display("the store did not answer ({reason}); read the object back before writing again")]
    Unavailable {
        /// What went wrong.
        reason: String,
    },
    /// The store refused the request.
    #[display(
        "the store refused {key:?} with status {status}; check the key, size and credentials"
    )]
    Refused {
        /// The key of the object.
        key: String,
        /// The HTTP status.
        status: u16,
    },
}
