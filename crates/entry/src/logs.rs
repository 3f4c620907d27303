//! Logging setup.

use derive_more::{Display, Error};
use knapweeddale_config::LogFormat;
use tracing::subscriber::{SetGlobalDefaultError, set_global_default};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Errors of the logging setup.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The filter cannot be parsed.
    #[display("log_filter {filter:?} cannot be read ({source}); write a level such as \"info\"")]
    Filter {
        /// The filter from the settings.
        filter: String,
        /// The parse error.
        source: tracing_subscriber::filter::ParseError,
    },
    /// Logging is already set up in this process.
    #[display("the log is set up already ({source}); set it up once")]
    AlreadyInitialized {
        /// The error of the `tracing` crate.
        source: SetGlobalDefaultError,
    },
}

/// Sets up logging to standard error.
///
/// # Errors
///
/// Fails if the filter cannot be parsed or logging is already set up.
pub fn init(format: LogFormat, filter: &str) -> Result<(), LogError> {
    init_with(format, filter, std::io::stderr)
}

/// Sets up logging to a writer.
///
/// Records of the `log` crate are not included: the HTTP server logs whole requests there,
/// including the keys of callers.
///
/// # Errors
///
/// Fails if the filter cannot be parsed or logging is already set up.
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
        // Messages already start with the name of their part of the system.
        .with_target(false)
        .with_ansi(false)
        .with_writer(writer);
    let result = match format {
        LogFormat::Text => set_global_default(builder.finish()),
        LogFormat::Json => set_global_default(builder.json().finish()),
    };
    result.map_err(|source| LogError::AlreadyInitialized { source })
}
