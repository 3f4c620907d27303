//! The task that relays one call.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use knapweeddale_core::input::{AttemptProgress, Failure};
use knapweeddale_core::{AttemptEvent, CallId, Dispatch, Execution, Input, Refusal, RefusalKind};
use knapweeddale_runtime::Clock;
use tokio::sync::mpsc;

use super::attempt::{Attempt, AttemptEnd, Progress};
use super::reply::{CallerDisconnected, RelayBody, Reply};
use crate::adapter::{CallHead, Dialect, LocalResponse};
use crate::control::CallOutput;
use crate::front::SharedState;
use crate::metrics::Stage;

/// A call as it arrived, with the channels to the core and to its caller.
pub(crate) struct CallContext {
    pub call: CallId,
    pub parts: Parts,
    pub body: Bytes,
    pub head: CallHead,
    pub outputs: mpsc::Receiver<CallOutput>,
    pub reply: Reply,
    pub disconnected: CallerDisconnected,
}

/// The task of a call: executes the core's decisions about it.
pub(crate) struct CallTask<D, C> {
    shared: Arc<SharedState<D, C>>,
    context: CallContext,
    progress: Progress,
    arrived: Instant,
    is_disconnected: bool,
    /// An output that arrived while an attempt ran and ended it.
    pending_output: Option<CallOutput>,
    /// Error response of the last failed attempt, sent to the caller if the call ends with it.
    error_response: Option<Response<RelayBody>>,
}

impl<D: Dialect, C: Clock> CallTask<D, C> {
    /// Creates the task of a call; its times count from here.
    pub fn new(shared: Arc<SharedState<D, C>>, context: CallContext) -> Self {
        Self {
            shared,
            context,
            progress: Progress::default(),
            arrived: Instant::now(),
            is_disconnected: false,
            pending_output: None,
            error_response: None,
        }
    }

    /// Executes the core's outputs until the call has ended.
    pub async fn run(mut self) {
        while let Some(output) = self.next_output().await {
            match output {
                CallOutput::Dispatch(dispatch) => self.run_attempt(&dispatch).await,
                // The attempt has ended meanwhile.
                CallOutput::Cancel => {}
                CallOutput::Answered => return,
                CallOutput::Refused(refusal) => {
                    self.send_refusal(&refusal);
                    return;
                }
            }
        }
        // The control thread stopped before the call ended.
        let ran = match self.progress.sent_to.is_empty() {
            true => Execution::NotRun,
            false => Execution::MayHaveRun,
        };
        let refusal = Refusal {
            call: self.context.call,
            kind: RefusalKind::Draining,
            ran,
            retry_after_ms: None,
        };
        self.send_refusal(&refusal);
    }

    /// Waits for the next output; reports once if the caller disconnects meanwhile.
    async fn next_output(&mut self) -> Option<CallOutput> {
        if let Some(output) = self.pending_output.take() {
            return Some(output);
        }
        if self.is_disconnected {
            return self.context.outputs.recv().await;
        }
        tokio::select! {
            biased;
            output = self.context.outputs.recv() => return output,
            _ = &mut self.context.disconnected => {}
        }
        self.is_disconnected = true;
        let abandoned = Input::CallAbandoned(self.context.call);
        self.shared.inputs.send_input(abandoned).await;
        self.context.outputs.recv().await
    }

    /// Runs one attempt and reports its result to the core.
    async fn run_attempt(&mut self, dispatch: &Dispatch) {
        if self.progress.upstream_time.is_zero() {
            let queued = self.arrived.elapsed();
            self.shared.metrics.observe_stage(Stage::Queue, queued);
        }
        self.progress.forwarded_tokens = 0;
        self.progress.may_be_sent = false;
        let is_resumable = dispatch.events.is_some_and(|form| form.is_resumable);
        let attempt = Attempt {
            shared: &self.shared,
            parts: &self.context.parts,
            body: &self.context.body,
            head: &self.context.head,
            dispatch,
            is_repeatable: is_resumable || self.context.parts.method.is_safe(),
            reply: &mut self.context.reply,
            progress: &mut self.progress,
        };
        let end = if self.is_disconnected {
            AttemptEnd::from(Failure::NotSent)
        } else {
            tokio::select! {
                end = attempt.run() => end,
                output = self.context.outputs.recv() => {
                    self.pending_output = output;
                    AttemptEnd::from(self.progress.silent_failure())
                }
                _ = &mut self.context.disconnected => {
                    self.is_disconnected = true;
                    let answer_tokens = self.progress.forwarded_tokens;
                    AttemptEnd::from(match self.progress.may_be_sent {
                        true => Failure::CallerGone { answer_tokens },
                        false => Failure::NotSent,
                    })
                }
            }
        };
        let progress = match end {
            AttemptEnd::Finished(outcome, response) => {
                if let Some(response) = response {
                    self.context.reply.send_whole(response);
                }
                self.record_answer();
                AttemptProgress::Finished(outcome)
            }
            AttemptEnd::Failed(failure, error_response) => {
                self.error_response = error_response;
                AttemptProgress::Failed(failure)
            }
        };
        let event = AttemptEvent {
            attempt: dispatch.attempt,
            progress,
        };
        self.shared.inputs.send_input(Input::Attempt(event)).await;
        if self.is_disconnected && !self.progress.may_be_sent {
            let abandoned = Input::CallAbandoned(self.context.call);
            self.shared.inputs.send_input(abandoned).await;
        }
    }

    /// Records the metrics and the log line of an answered call.
    fn record_answer(&self) {
        let whole = self.arrived.elapsed();
        let metrics = &self.shared.metrics;
        metrics.observe_stage(Stage::Whole, whole);
        metrics.observe_stage(
            Stage::Added,
            whole.saturating_sub(self.progress.upstream_time),
        );
        tracing::info!(
            request = self.context.head.request_id.as_deref().unwrap_or("-"),
            call = %self.context.call,
            whole_us = u64::try_from(whole.as_micros()).unwrap_or(u64::MAX),
            upstream_us = u64::try_from(self.progress.upstream_time.as_micros())
                .unwrap_or(u64::MAX),
            "call: answered"
        );
    }

    /// Records the metric and the log line of a stream that ends before it is complete.
    fn record_broken_stream(&self, kind: RefusalKind) {
        self.shared.metrics.count_broken_stream(kind);
        let whole = self.arrived.elapsed();
        tracing::warn!(
            request = self.context.head.request_id.as_deref().unwrap_or("-"),
            call = %self.context.call,
            whole_us = u64::try_from(whole.as_micros()).unwrap_or(u64::MAX),
            last_event = self.progress.last_event_id,
            "call: stream broken off as {kind}"
        );
    }

    /// Sends the refusal, or the last upstream's error response if the call failed with it.
    fn send_refusal(&mut self, refusal: &Refusal) {
        if self.progress.is_stream_started && !self.is_disconnected {
            self.record_broken_stream(refusal.kind);
        }
        let is_upstream_error = refusal.kind == RefusalKind::UpstreamFailed;
        let response = match self.error_response.take().filter(|_| is_upstream_error) {
            Some(response) => response,
            None => to_response(self.shared.dialect.encode_refusal(refusal)),
        };
        self.context.reply.send_whole(response);
    }
}

/// Converts a response of the platform adapter to one with an empty body.
pub(crate) fn to_response(local: LocalResponse) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::whole(Bytes::new()));
    *response.status_mut() = local.status;
    *response.headers_mut() = local.headers;
    response
}
