//! The end of the process without cutting calls.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use knapweeddale_core::Input;
use tokio::time::{sleep, timeout};

use super::Daemon;
use crate::call::InFlight;
use crate::control::{Message, StatusReader};
use knapweeddale_runtime::Clock;

/// Longest wait for the last charge records when the process ends.
const CHARGE_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// # Stop
impl<C: Clock> Daemon<C> {
    /// Stops without cutting a call, unless one takes longer than `drain_ms`.
    pub async fn stop(mut self) {
        let shared = Arc::clone(&self.shared);
        shared.draining.store(true, Ordering::Relaxed);
        tracing::info!("membership: {} is stopping", shared.vm);
        shared.inputs.send_input(Input::Drain).await;
        // The load balancer keeps sending calls until it sees the readiness.
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
            tracing::error!("charges: the last records are not stored");
        }
        self.background.abort_all();
        tracing::info!("membership: {} has stopped", shared.vm);
    }
}

/// Waits until the VM has handed over everything.
async fn wait_until_left(mut status: StatusReader) {
    // Fails only if the control thread has ended.
    let _ = status.wait_for(|status| status.has_left).await;
}

/// The calls that a forced end cuts.
#[derive(Debug, Clone)]
pub struct UnfinishedCalls(pub(super) InFlight);

impl UnfinishedCalls {
    /// Logs the calls that are cut.
    pub fn log(&self, cause: &str) {
        let calls = self.0.calls();
        tracing::warn!("membership: {cause} cuts {} calls", calls.len());
        for call in calls {
            tracing::warn!("membership: cut call {call}");
        }
    }
}
