//! Errors of reading settings and files.

use std::path::PathBuf;

use derive_more::{Display, Error};

/// A settings, service or account file that cannot be used.
#[derive(Debug, Display, Error)]
#[display("{}{}: {kind}", file.display(), format_line(*line))]
pub struct ConfigError {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1, if it is known.
    pub line: Option<usize>,
    /// What is wrong, with the remedy.
    #[error(source)]
    pub kind: ConfigErrorKind,
}

/// What is wrong with a file.
#[derive(Debug, Display, Error)]
pub enum ConfigErrorKind {
    /// The file cannot be read.
    #[display("cannot be read ({_0}); check the path and its permissions")]
    Unreadable(#[error(source)] std::io::Error),
    /// The text is not valid YAML or has unknown or missing fields.
    #[display("{_0}; see `knapweeddale schema` for the fields")]
    Invalid(#[error(not(source))] String),
    /// A keys file names an account that no account file defines.
    #[display(
        "names account {_0:?}, which no account file defines; add the file or remove the keys"
    )]
    UnknownAccount(#[error(not(source))] String),
    /// The document is too large for the store.
    #[display(
        "is {size_bytes} bytes, more than {limit_bytes}; split the fleet or shorten the files"
    )]
    TooLarge {
        /// The size of the document.
        size_bytes: usize,
        /// The largest size that the store takes.
        limit_bytes: usize,
    },
}

/// Formats a line number.
fn format_line(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!(":{line}"))
}

impl ConfigError {
    /// Makes an error from one of the YAML parser.
    pub(crate) fn from_yaml(file: &str, error: &serde_norway::Error) -> Self {
        Self {
            file: PathBuf::from(file),
            line: error.location().map(|location| location.line()),
            kind: ConfigErrorKind::Invalid(error.to_string()),
        }
    }

    /// Makes an error from one of the file system.
    pub(crate) fn from_io(file: impl Into<PathBuf>, error: std::io::Error) -> Self {
        Self {
            file: file.into(),
            line: None,
            kind: ConfigErrorKind::Unreadable(error),
        }
    }
}
