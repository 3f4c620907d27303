//! The log of the daemon.

use derive_more::{Display, Error};
use knapweeddale_config::LogFormat;
use tracing::subscriber::{SetGlobalDefaultError, set_global_default};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

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
    AlreadyInitialized {
        /// The error of the log.
        source: SetGlobalDefaultError,
    },
}

/// Writes the log of the process to standard error.
///
/// # Errors
///
/// Fails if the filter cannot be read or the process has a log already.
pub fn init(format: LogFormat, filter: &str) -> Result<(), LogError> {
    init_with(format, filter, std::io::stderr)
}

/// Writes the log of the process to a writer.
///
/// Records of the crate `log` are left out: the HTTP server writes whole
/// requests there, and with them the keys of callers.
///
/// # Errors
///
/// Fails if the filter cannot be read or the process has a log already.
pub fn init_with<W>(format: LogFormat, filter: &str, writer: W) -> Result<(), LogError>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let parsed = EnvFilter::try_new(filter).map_err(|source| LogError::Filter {
        filter: filter.to_owned(),
        source,
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(parsed)
        // Each line starts with the name of its part already.
        .with_target(false)
        .with_ansi(false)
        .with_writer(writer);
    let result = match format {
        LogFormat::Text => set_global_default(builder.finish()),
        LogFormat::Json => set_global_default(builder.json().finish()),
    };
    result.map_err(|source| LogError::AlreadyInitialized { source })
}
