//! Startup errors.

use derive_more::{Display, Error, From};
use knapweeddale_token::SecretError;

/// The daemon cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The file with the fleet secret cannot be read.
    #[display("secret_file {file} cannot be read ({source}); create it with 32 random bytes")]
    #[from(skip)]
    SecretFile {
        /// Path of the file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The fleet secret is invalid, for example too short.
    #[display("{_0}")]
    Secret(SecretError),
    /// The HTTP client for upstreams cannot be created.
    #[display("the HTTP client for upstreams cannot be created ({_0})")]
    Client(reqwest::Error),
    /// The metrics cannot be registered.
    #[display("the metrics cannot be registered ({_0})")]
    Metrics(prometheus::Error),
    /// The listener for other VMs or the control thread cannot be started.
    #[display("{_0}; check `peer_listen`")]
    Io(std::io::Error),
    /// The HTTP server cannot be started.
    #[display("the HTTP server cannot be started ({_0}); check `listen`")]
    Server(Box<rocket::Error>),
}
