//! Errors of the platform's object API.

use derive_more::{Display, Error};

/// A failed call to the platform's object API.
#[derive(Debug, Clone, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The version of the object differs from the one that the write expected.
    #[display("object {key:?} now has version {current}; read it again before writing")]
    Conflict {
        /// Key of the object.
        key: String,
        /// Current version of the object.
        current: u64,
    },
    /// No response arrived, or it was a temporary error; a write may have taken effect.
    #[display("the store did not answer ({reason}); read the object back before writing again")]
    Unavailable {
        /// Error of the HTTP client, or the status or defect of the response.
        reason: String,
    },
    /// The store refused the request; a retry would fail too.
    #[display(
        "the store refused {key:?} with status {status}; check the key, size and credentials"
    )]
    Refused {
        /// Key of the object; the prefix for a list, `vms` for the list of VMs.
        key: String,
        /// HTTP status code.
        status: u16,
    },
}
