//! Graceful shutdown.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use knapweeddale_core::Input;
use tokio::time::{sleep, timeout};

use super::Daemon;
use crate::call::InFlight;
use crate::control::{Message, StatusReader};
use knapweeddale_runtime::Clock;

/// Timeout for writing the last charge records at shutdown.
const CHARGE_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// # Shutdown
impl<C: Clock> Daemon<C> {
    /// Stops without interrupting calls, unless one takes longer than `drain_ms`.
    pub async fn stop(mut self) {
        let shared = Arc::clone(&self.shared);
        shared.draining.store(true, Ordering::Relaxed);
        tracing::info!("membership: {} is stopping", shared.vm);
        shared.inputs.send_input(Input::Drain).await;
        // The load balancer sends calls until its next readiness check fails.
        sleep(self.drain_notice).await;
        let left = wait_until_left(shared.status.clone());
        let drained = async {
            left.await;
            shared.in_flight.wait_until_empty().await;
        };
        if timeout(self.drain_timeout, drained).await.is_err() {
            self.unfinished_calls().log("`drain_ms`");
        }
        self.server.stop().await;
        // Fails only if the control thread has ended already.
        let _ = shared.inputs.send(Message::Stop).await;
        let control = self.control;
        let _ = tokio::task::spawn_blocking(move || control.join()).await;
        if timeout(CHARGE_FLUSH_TIMEOUT, self.charges).await.is_err() {
            tracing::error!(
                "charges: the last records are not stored after {CHARGE_FLUSH_TIMEOUT:?}"
            );
        }
        self.background.abort_all();
        tracing::info!("membership: {} has stopped", shared.vm);
    }
}

/// Waits until the VM has handed over all its state.
async fn wait_until_left(mut status: StatusReader) {
    // Fails only if the control thread has ended.
    let _ = status.wait_for(|status| status.has_left).await;
}

/// The calls in flight, which a forced end interrupts.
#[derive(Debug, Clone)]
pub struct UnfinishedCalls(pub(super) InFlight);

impl UnfinishedCalls {
    /// Logs the calls in flight; `cause` says what interrupts them.
    pub fn log(&self, cause: &str) {
        let calls = self.0.calls();
        tracing::warn!("membership: {cause} interrupts {} calls", calls.len());
        for call in calls {
            tracing::warn!("membership: call {call} interrupted");
        }
    }
}
