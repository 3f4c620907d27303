//! Time limits of callers' connections.

use std::time::Duration;

use derive_more::Display;

use crate::control::Status;

/// Connections stay open for this multiple of the published times, so that a request sent just
/// before they are over is still served, also by a VM that does not know their latest change.
const TIMEOUT_FACTOR: u32 = 2;

/// Shortest idle time, whatever is published.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// Time after which a connection is closed whose caller accepts no byte of its response.
const WRITE_STALL: Duration = Duration::from_secs(30);

/// Time for the first request of a connection that was opened before the process began to stop.
const LAST_REQUEST: Duration = Duration::from_secs(1);

/// Why a connection is closed.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// It has had no request for the idle time.
    #[display("idle")]
    Idle,
    /// The head of a request did not arrive in time.
    #[display("the head of a request came too slowly")]
    SlowHead,
    /// The caller accepts no bytes.
    #[display("the caller reads nothing")]
    Stalled,
}

/// Time limits of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionLimits {
    /// From the last response to the next request.
    pub idle: Duration,
    /// From the first byte of a head to its last one.
    pub head: Duration,
    /// Without a byte that the caller accepts.
    pub write_stall: Duration,
    /// Whether the process is stopping, so that connections close early.
    pub is_closing: bool,
}

impl ConnectionLimits {
    /// Returns the limits that follow from the configuration in force.
    pub fn new(status: &Status, is_closing: bool) -> Self {
        let published = |ms| Duration::from_millis(ms) * TIMEOUT_FACTOR;
        let idle = published(status.idle_timeout_ms).max(MIN_IDLE);
        Self {
            idle: if is_closing { LAST_REQUEST } else { idle },
            head: published(status.header_timeout_ms).max(MIN_IDLE),
            write_stall: WRITE_STALL,
            is_closing,
        }
    }
}
