//! The signals that stop or reload a daemon.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks a daemon to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalRequest {
    /// Stop gracefully (SIGTERM or SIGINT).
    Stop,
    /// Read the settings again (SIGHUP).
    Reload,
}

/// Handlers of the signals that stop or reload a daemon.
///
/// A daemon installs them before it reads its settings: without a handler, each of these signals
/// ends the process. Signals that arrive before [`Self::next`] is called are kept. SIGPIPE needs
/// no handler, because the standard library ignores it from the start.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers; has to be called within a runtime.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a handler.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next request; a stop goes before a reload.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hang_up.recv() => SignalRequest::Reload,
        }
    }

    /// Waits for a request to stop and passes each request to reload to `reload`.
    pub async fn wait_for_stop(&mut self, mut reload: impl FnMut()) {
        while self.next().await == SignalRequest::Reload {
            reload();
        }
    }
}
