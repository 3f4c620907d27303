//! The log of a process: JSON lines on standard output, bounded and never waited for.

mod writer;

use derive_more::{Display, Error};
use tracing::subscriber::{SetGlobalDefaultError, set_global_default};
use tracing_subscriber::EnvFilter;

pub use writer::{LineWriter, dropped_lines};

/// The log cannot be set up.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The filter cannot be read.
    #[display(
        "the log filter {filter:?} cannot be read ({source}); write a level such as \"info\""
    )]
    Filter {
        /// The filter.
        filter: String,
        /// What is wrong with it.
        source: tracing_subscriber::filter::ParseError,
    },
    /// The thread that writes the log cannot be started.
    #[display("the log cannot be written ({source}); free resources of the system")]
    Thread {
        /// The error of the system.
        source: std::io::Error,
    },
    /// The process has a log already.
    #[display("the log is set up already ({source}); set it up once")]
    Twice {
        /// The error of the log.
        source: SetGlobalDefaultError,
    },
}

/// Writes the log of the process to standard output.
///
/// The returned writer has to be finished before the process ends, or its last lines are lost.
///
/// # Errors
///
/// Fails if the filter cannot be read, the writing thread cannot be started, or the process has
/// a log already.
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
    set_global_default(subscriber).map_err(|source| LogError::Twice { source })?;
    Ok(writer)
}
