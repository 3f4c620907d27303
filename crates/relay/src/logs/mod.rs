//! Logging to standard output as JSON lines, rate-limited and without blocking the caller.

mod writer;

use derive_more::{Display, Error};
use tracing::subscriber::{SetGlobalDefaultError, set_global_default};
use tracing_subscriber::EnvFilter;

pub use writer::{LineWriter, dropped_lines};

/// Error when logging cannot be initialized.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The filter is invalid.
    #[display("the log filter {filter:?} is invalid ({source}); write a level such as \"info\"")]
    Filter {
        /// Text of the filter.
        filter: String,
        /// The parse error.
        source: tracing_subscriber::filter::ParseError,
    },
    /// The log thread cannot be started.
    #[display("the log thread cannot be started ({source}); free resources of the system")]
    Thread {
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// Logging is already initialized in this process.
    #[display("logging is already initialized ({source}); initialize it once")]
    AlreadyInitialized {
        /// The error of the tracing library.
        source: SetGlobalDefaultError,
    },
}

/// Initializes logging to standard output.
///
/// Call [`LineWriter::flush`] before the process ends, or the last lines are lost.
///
/// # Errors
///
/// Fails if the filter is invalid, the log thread cannot be started, or logging is already
/// initialized.
pub fn init(filter: &str) -> Result<LineWriter, LogError> {
    let parsed = EnvFilter::try_new(filter).map_err(|source| LogError::Filter {
        filter: filter.to_owned(),
        source,
    })?;
    let writer =
        LineWriter::start(std::io::stdout()).map_err(|source| LogError::Thread { source })?;
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_env_filter(parsed)
        .with_writer(writer.clone())
        .finish();
    set_global_default(subscriber).map_err(|source| LogError::AlreadyInitialized { source })?;
    Ok(writer)
}
