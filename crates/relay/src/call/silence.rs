//! Waits for the steps of a response and reports an upstream that sends nothing.

use std::pin::pin;
use std::time::Duration;

use knapweeddale_core::input::{AttemptProgress, Failure};
use knapweeddale_core::{AttemptEvent, Input};
use knapweeddale_runtime::Clock;
use tokio::time::{Instant, timeout_at};

use super::attempt::Attempt;
use crate::adapter::Dialect;

/// When an upstream that sends nothing is reported.
#[derive(Debug, Clone, Copy)]
pub(super) struct SilenceLimit {
    /// When it sent something last, or got the request.
    pub since: Instant,
    /// How long it may send nothing, in milliseconds.
    pub limit_ms: u64,
}

impl<D: Dialect, C: Clock> Attempt<'_, D, C> {
    /// Waits for a step until the deadline, after which no step begins: an upstream that sends faster
    /// than its bytes are parsed always has the next ones ready.
    ///
    /// Silence does not end the wait: it is reported to the core, which cancels the attempt if the
    /// call can go on in another one.
    pub(super) async fn wait_for<T>(
        &self,
        step: impl Future<Output = T>,
        silence: SilenceLimit,
        deadline: Instant,
    ) -> Result<T, Failure> {
        let limit = Duration::from_millis(silence.limit_ms);
        if Instant::now() >= deadline {
            return Err(self.progress.silent_failure());
        }
        let mut step = pin!(step);
        let mut report_at = silence.since + limit;
        loop {
            let until = deadline.min(report_at);
            if let Ok(output) = timeout_at(until, &mut step).await {
                return Ok(output);
            }
            if until == deadline {
                return Err(self.progress.silent_failure());
            }
            self.report_silence().await;
            report_at = Instant::now() + limit;
        }
    }

    /// Reports that the upstream has sent nothing for its limit.
    async fn report_silence(&self) {
        let upstream = &self.dispatch.upstream;
        let attempt = self.dispatch.attempt;
        let is_stream_started = self.progress.is_stream_started;
        tracing::info!(%attempt, %upstream, is_stream_started, "upstream: silent for too long");
        let event = AttemptEvent {
            attempt,
            progress: AttemptProgress::Silent {
                forwarded: is_stream_started,
            },
        };
        self.shared.inputs.send_input(Input::Attempt(event)).await;
    }
}
