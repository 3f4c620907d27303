//! Errors from reading and writing settings and configuration files.

use std::path::PathBuf;

use derive_more::{Display, Error};

/// Error in a settings, service, account or keys file.
#[derive(Debug, Display, Error)]
#[display("{}{}: {kind}", file.display(), format_line(*line))]
pub struct ConfigError {
    /// Path of the file, or `fleet/config` for the document in the store.
    pub file: PathBuf,
    /// Line of the error, counted from 1; `None` if the error has no position.
    pub line: Option<usize>,
    /// Cause of the error; its text names the remedy.
    #[error(source)]
    pub kind: ConfigErrorKind,
}

/// Cause of a [`ConfigError`].
#[derive(Debug, Display, Error)]
pub enum ConfigErrorKind {
    /// The file or folder cannot be read, or the file cannot be written.
    #[display("cannot be read or written ({_0}); check the path and its permissions")]
    Unreadable(#[error(source)] std::io::Error),
    /// The text is not valid YAML or JSON, or has unknown or missing fields.
    #[display("{_0}; see `knapweeddale schema` for the fields")]
    Invalid(#[error(not(source))] String),
    /// A keys file names an account that no account file defines.
    #[display(
        "names account {_0:?}, which no account file defines; add the file or remove the keys"
    )]
    UnknownAccount(#[error(not(source))] String),
    /// The document is larger than the store accepts.
    #[display(
        "is {size_bytes} bytes, more than {limit_bytes}; split the fleet or shorten the files"
    )]
    TooLarge {
        /// Size of the encoded document.
        size_bytes: usize,
        /// Maximum size that the store accepts.
        limit_bytes: usize,
    },
}

/// Formats a line number as `:LINE`; empty without one.
fn format_line(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!(":{line}"))
}

impl ConfigError {
    /// Converts an error of the YAML parser.
    pub(crate) fn from_yaml(file: &str, error: &serde_norway::Error) -> Self {
        Self {
            file: PathBuf::from(file),
            line: error.location().map(|location| location.line()),
            kind: ConfigErrorKind::Invalid(error.to_string()),
        }
    }

    /// Converts an error of the file system.
    pub(crate) fn from_io(file: impl Into<PathBuf>, error: std::io::Error) -> Self {
        Self {
            file: file.into(),
            line: None,
            kind: ConfigErrorKind::Unreadable(error),
        }
    }
}
