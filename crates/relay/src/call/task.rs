//! The task of a call.

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
use super::reply::{CallerGone, RelayBody, Reply};
use crate::adapter::{CallHead, Dialect, OwnAnswer};
use crate::control::CallOutput;
use crate::front::Shared;
use crate::metrics::Stage;

/// What a task needs to begin.
pub(crate) struct NewTask {
    pub call: CallId,
    pub parts: Parts,
    pub body: Bytes,
    pub head: CallHead,
    pub outputs: mpsc::Receiver<CallOutput>,
    pub reply: Reply,
    pub gone: CallerGone,
}

/// The task of a call: carries out what the core decides for it.
pub(crate) struct CallTask<D, C> {
    shared: Arc<Shared<D, C>>,
    new: NewTask,
    progress: Progress,
    arrived: Instant,
    is_gone: bool,
    /// An error of an upstream that the caller gets if nothing better follows.
    held: Option<Response<RelayBody>>,
}

impl<D: Dialect, C: Clock> CallTask<D, C> {
    /// Makes the task of a call that has just arrived.
    pub fn new(shared: Arc<Shared<D, C>>, new: NewTask) -> Self {
        Self {
            shared,
            new,
            progress: Progress::default(),
            arrived: Instant::now(),
            is_gone: false,
            held: None,
        }
    }

    /// Carries out the outputs of the core until the call has ended.
    pub async fn run(mut self) {
        while let Some(output) = self.next().await {
            match output {
                CallOutput::Dispatch(dispatch) => self.attempt(&dispatch).await,
                CallOutput::Answered => return,
                CallOutput::Refused(refusal) => {
                    self.refuse(&refusal).await;
                    return;
                }
            }
        }
        // The control thread has ended before the call.
        let refusal = Refusal {
            call: self.new.call,
            kind: RefusalKind::Draining,
            ran: Execution::MayHaveRun,
            retry_after_ms: None,
        };
        self.refuse(&refusal).await;
    }

    /// Waits for the next output; a caller that leaves meanwhile is reported once.
    async fn next(&mut self) -> Option<CallOutput> {
        if self.is_gone {
            return self.new.outputs.recv().await;
        }
        tokio::select! {
            biased;
            output = self.new.outputs.recv() => return output,
            _ = &mut self.new.gone => {}
        }
        self.is_gone = true;
        let abandoned = Input::CallAbandoned(self.new.call);
        self.shared.inputs.input(abandoned).await;
        self.new.outputs.recv().await
    }

    /// Runs one attempt and reports its end.
    async fn attempt(&mut self, dispatch: &Dispatch) {
        if self.progress.upstream.is_zero() {
            let queued = self.arrived.elapsed();
            self.shared.metrics.note(Stage::Queue, queued);
        }
        self.progress.tokens = 0;
        self.progress.is_sent = false;
        let is_resumable = dispatch.events.is_some_and(|form| form.is_resumable);
        let attempt = Attempt {
            shared: &self.shared,
            parts: &self.new.parts,
            body: &self.new.body,
            head: &self.new.head,
            dispatch,
            is_repeatable: is_resumable || self.new.parts.method.is_safe(),
            reply: &mut self.new.reply,
            progress: &mut self.progress,
        };
        let end = if self.is_gone {
            AttemptEnd::from(Failure::NotSent)
        } else {
            tokio::select! {
                end = attempt.run() => end,
                _ = &mut self.new.gone => {
                    self.is_gone = true;
                    let answer_tokens = self.progress.tokens;
                    AttemptEnd::from(match self.progress.is_sent {
                        true => Failure::CallerGone { answer_tokens },
                        false => Failure::NotSent,
                    })
                }
            }
        };
        let progress = match end {
            AttemptEnd::Finished(outcome, response) => {
                if let Some(response) = response {
                    self.new.reply.whole(response).await;
                }
                self.log_end();
                AttemptProgress::Finished(outcome)
            }
            AttemptEnd::Failed(failure, held) => {
                self.held = held;
                AttemptProgress::Failed(failure)
            }
        };
        let event = AttemptEvent {
            attempt: dispatch.attempt,
            progress,
        };
        self.shared.inputs.input(Input::Attempt(event)).await;
        if self.is_gone && !self.progress.is_sent {
            let abandoned = Input::CallAbandoned(self.new.call);
            self.shared.inputs.input(abandoned).await;
        }
    }

    /// Notes how long the call took.
    fn log_end(&self) {
        let whole = self.arrived.elapsed();
        let metrics = &self.shared.metrics;
        metrics.note(Stage::Whole, whole);
        metrics.note(Stage::Added, whole.saturating_sub(self.progress.upstream));
        tracing::info!(
            request = self.new.head.request_id.as_deref().unwrap_or("-"),
            call = %self.new.call,
            whole_us = u64::try_from(whole.as_micros()).unwrap_or(u64::MAX),
            upstream_us = u64::try_from(self.progress.upstream.as_micros()).unwrap_or(u64::MAX),
            "call: answered"
        );
    }

    /// Gives the caller the final answer to a call that no upstream answered.
    async fn refuse(&mut self, refusal: &Refusal) {
        let passed_on = refusal.kind == RefusalKind::UpstreamFailed;
        let response = match self.held.take().filter(|_| passed_on) {
            Some(response) => response,
            None => own_response(self.shared.dialect.refuse(refusal)),
        };
        self.new.reply.whole(response).await;
    }
}

/// Makes a response from one that the adapter wrote.
pub(crate) fn own_response(answer: OwnAnswer) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::whole(Bytes::new()));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
