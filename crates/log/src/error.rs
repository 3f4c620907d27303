//! Errors of the log.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

/// Why the log could not be read or written.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The folder or one of its files cannot be used.
    #[display("{} cannot be used ({source}); check the disk and its free space", path.display())]
    Io {
        /// Path of the folder or file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A record is larger than the limit.
    #[display("a record has {bytes} bytes, {max_bytes} allowed; split it")]
    TooLarge {
        /// Size of the record in bytes.
        bytes: usize,
        /// Maximum size in bytes.
        max_bytes: usize,
    },
}

impl LogError {
    /// Returns a function that adds a path to an I/O error.
    pub(crate) fn at(path: &Path) -> impl FnOnce(std::io::Error) -> Self {
        move |source| Self::Io {
            path: path.to_owned(),
            source,
        }
    }
}
