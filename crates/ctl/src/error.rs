//! Errors and exit codes of the operator command.

use std::process::ExitCode;

use derive_more::{Display, Error, From};
use knapweeddale_config::ConfigError;
use knapweeddale_store::StoreError;

/// Result of a command; the discriminant is the process exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The check has findings, or a key or account in the arguments is not valid.
    Findings = 1,
    /// Another operator has published in the meantime.
    Conflict = 3,
    /// The store failed or a VM did not answer.
    Unavailable = 4,
    /// A file could not be read, parsed or written, or the system gave no random bytes.
    Files = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Reasons for which a command fails.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// Files that cannot be read, parsed or written.
    #[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    #[error(ignore)]
    #[from]
    Files(Vec<ConfigError>),
    /// A request to the store failed.
    #[from]
    Store(StoreError),
    /// The store's revision is not the expected one.
    #[display(
        "revision {revision} was published in the meantime; review its changes and publish again:\n{changes}"
    )]
    #[error(ignore)]
    Conflict {
        /// The revision now in the store.
        revision: u64,
        /// The changes that it made, one per line, or the revision that was expected.
        changes: String,
    },
    /// No keys file in the folder has a key with this ID.
    #[display(
        "key {_0:?} does not exist in the folder; list the keys with `knapweeddale keys list`"
    )]
    #[error(ignore)]
    UnknownKey(String),
    /// No file in the folder defines this account.
    #[display("account {_0:?} does not exist in the folder; add its `.account.yaml` file first")]
    #[error(ignore)]
    UnknownAccount(String),
    /// A key ID that is malformed or already in use.
    #[display(
        "key ID {_0:?} is already in use or is not 1 to 32 characters of a-z, 0-9 and `-`; choose another"
    )]
    #[error(ignore)]
    KeyId(String),
    /// The operating system's random source failed.
    #[display("the operating system returned no random bytes: {_0}; try again")]
    #[error(ignore)]
    RandomSource(String),
}

impl From<ConfigError> for CtlError {
    fn from(error: ConfigError) -> Self {
        Self::Files(vec![error])
    }
}

impl CtlError {
    /// Returns the exit code of the error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Files(_) | Self::RandomSource(_) => ExitStatus::Files,
            Self::Store(StoreError::Conflict { .. }) | Self::Conflict { .. } => {
                ExitStatus::Conflict
            }
            Self::Store(_) => ExitStatus::Unavailable,
            Self::UnknownKey(_) | Self::UnknownAccount(_) | Self::KeyId(_) => ExitStatus::Findings,
        }
    }
}
