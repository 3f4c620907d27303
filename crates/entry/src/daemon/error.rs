//! Errors of the start.

use derive_more::{Display, Error, From};
use knapweeddale_token::SecretError;

/// The daemon cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The secret of the fleet cannot be read.
    #[display("secret_file {file} cannot be read ({source}); create it with 32 random bytes")]
    #[from(skip)]
    SecretFile {
        /// The file.
        file: String,
        /// What is wrong.
        source: std::io::Error,
    },
    /// The secret of the fleet cannot be used.
    #[display("{_0}")]
    Secret(SecretError),
    /// The HTTP client of upstreams cannot be set up.
    #[display("the client of upstreams cannot be set up ({_0})")]
    Client(reqwest::Error),
    /// The metrics are inconsistent.
    #[display("the metrics are inconsistent ({_0})")]
    Metrics(prometheus::Error),
    /// The listener for other VMs or the control thread cannot be started.
    #[display("{_0}; check `peer_listen`")]
    Io(std::io::Error),
    /// The HTTP server cannot be started.
    #[display("the HTTP server cannot be started ({_0}); check `listen`")]
    Server(Box<rocket::Error>),
}
