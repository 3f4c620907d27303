//! Initialization of logging.

use derive_more::{Display, Error};
use knapweeddale_config::LogFormat;
use tracing::subscriber::{SetGlobalDefaultError, set_global_default};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Errors of initializing logging.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The filter is invalid.
    #[display("log_filter {filter:?} is invalid ({source}); write a level such as \"info\"")]
    Filter {
        /// The filter from the settings.
        filter: String,
        /// The parse error.
        source: tracing_subscriber::filter::ParseError,
    },
    /// Logging is already initialized in this process.
    #[display("logging is already initialized ({source}); initialize it once")]
    AlreadyInitialized {
        /// The error of the tracing library.
        source: SetGlobalDefaultError,
    },
}

/// Initializes logging to standard error.
///
/// # Errors
///
/// Fails if the filter is invalid or logging is already initialized.
pub fn init(format: LogFormat, filter: &str) -> Result<(), LogError> {
    init_with(format, filter, std::io::stderr)
}

/// Initializes logging to a writer.
///
/// Records of the `log` crate are not included: the HTTP server logs whole requests there,
/// including the keys of callers.
///
/// # Errors
///
/// Fails if the filter is invalid or logging is already initialized.
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
