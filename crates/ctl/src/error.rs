//! Errors and exit codes of the operator command.

use std::process::ExitCode;

use derive_more::{Display, Error, From};
use knapweeddale_config::ConfigError;
use knapweeddale_store::StoreError;

/// How the command ended; the number is its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// The files have errors or findings.
    Findings = 1,
    /// Another operator published in between.
    Conflict = 3,
    /// The store or a VM did not answer.
    Unavailable = 4,
    /// A file could not be read or written.
    Files = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why the command could not do its work.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// Files that cannot be used.
    #[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    #[error(ignore)]
    #[from]
    Files(Vec<ConfigError>),
    /// The store failed.
    #[from]
    Store(StoreError),
    /// Another operator published in between.
    #[display(
        "revision {revision} was published in between; read its changes and publish again:\n{changes}"
    )]
    #[error(ignore)]
    Conflict {
        /// The revision now in the store.
        revision: u64,
        /// What it changed.
        changes: String,
    },
    /// A key could not be found.
    #[display("no key {_0:?} in the folder; list the keys with `knapweeddale keys list`")]
    #[error(ignore)]
    UnknownKey(String),
    /// An account could not be found.
    #[display("no account {_0:?} in the folder; add its `.account.yaml` file first")]
    #[error(ignore)]
    UnknownAccount(String),
    /// A key identifier that cannot be used.
    #[display("key id {_0:?} is not 1 to 32 of a-z, 0-9 and `-` or is taken; choose another")]
    #[error(ignore)]
    KeyId(String),
    /// The system gave no random bytes.
    #[display("the system gave no random bytes ({_0}); try again")]
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
