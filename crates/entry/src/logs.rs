//! The log of the daemon.

use derive_more::{Display, Error};
use knapweeddale_config::LogFormat;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};

/// The log cannot be set up.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The filter cannot be read.
    #[display("log_filter {filter:?} cannot be read ({source}); write a level such as \"info\"")]
    Filter {
        /// The filter.
        filter: String,
        /// What is wrong with it.
        source: tracing_subscriber::filter::ParseError,
    },
    /// The process has a log already.
    #[display("the log is set up already ({source}); set it up once")]
    Twice {
        /// The error of the log.
        source: TryInitError,
    },
}

/// Writes the log of the process to standard error.
///
/// # Errors
///
/// Fails if the filter cannot be read or the process has a log already.
pub fn init(format: LogFormat, filter: &str) -> Result<(), LogError> {
    let parsed = EnvFilter::try_new(filter).map_err(|source| LogError::Filter {
        filter: filter.to_owned(),
        source,
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(std::io::stderr);
    let result = match format {
        LogFormat::Text => builder.finish().try_init(),
        LogFormat::Json => builder.json().finish().try_init(),
    };
    result.map_err(|source| LogError::Twice { source })
}
