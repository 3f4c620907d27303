//! Attempts: one request of a call to one upstream.

use std::time::Duration;

use bytes::Bytes;
use knapweeddale_core::input::{AttemptOutcome, AttemptProgress, Failure};
use knapweeddale_core::{AttemptEvent, AttemptId, Dispatch, Input};
use reqwest::Response;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::reply::{Reply, ReplyPart};
use super::task::CallKind;
use crate::front::SharedState;
use crate::upstream::{
    Completion, EventError, EventKind, EventReader, UpstreamRequest, UpstreamTimeouts,
    filter_response_headers,
};
use knapweeddale_runtime::Clock;

/// Timeout for sending a part to the caller. The queue stays full this long only if the caller
/// has stopped reading.
pub(super) const CALLER_SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum body of a response from a plain service, which is buffered in memory.
const MAX_PLAIN_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Statuses with which an upstream refuses a request without running it.
const REFUSAL_STATUSES: [u16; 2] = [429, 503];

/// Progress of an attempt; still available after the attempt is cancelled.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Answer tokens received so far.
    pub answer_tokens: u64,
    /// Whether any part of the response was sent to the caller.
    pub forwarded: bool,
    /// The events sent so far; empty unless the response is cacheable.
    pub cached_events: Vec<u8>,
}

/// The result of an attempt that received a complete response.
#[derive(Debug)]
pub(super) struct CompletedAttempt {
    /// The token counts and history to report to the core.
    pub outcome: AttemptOutcome,
    /// The response; `None` if it was already sent to the caller as a stream.
    pub reply: Option<Reply>,
}

/// An attempt and the parts of its call that it uses.
pub(super) struct Attempt<'a, C> {
    pub shared: &'a SharedState<C>,
    pub dispatch: &'a Dispatch,
    pub request: &'a UpstreamRequest,
    pub kind: &'a CallKind,
    pub service: &'a str,
    pub reply_sender: &'a mpsc::Sender<ReplyPart>,
    pub is_cacheable: bool,
    pub progress: &'a mut Progress,
}

/// Reports the progress of an attempt to the core.
pub(super) async fn report_progress<C: Clock>(
    shared: &SharedState<C>,
    attempt: AttemptId,
    progress: AttemptProgress,
) {
    let event = AttemptEvent { attempt, progress };
    shared.inputs.send_input(Input::Attempt(event)).await;
}

impl<C: Clock> Attempt<'_, C> {
    /// Sends the request and reads the response.
    pub async fn run(mut self) -> Result<CompletedAttempt, Failure> {
        report_progress(self.shared, self.dispatch.attempt, AttemptProgress::Sent).await;
        // The permission to start may have expired while the process was paused, so it is
        // checked immediately before the request is sent.
        if self.shared.clock.now_us() >= self.dispatch.valid_until_us {
            return Err(Failure::NotSent);
        }
        self.shared.last_requests.record(&self.dispatch.upstream);
        let started = Instant::now();
        let response = self
            .shared
            .upstream
            .send_request(self.dispatch, self.request)
            .await?;
        match self.kind {
            CallKind::Engine { .. } => self.run_engine(response, started).await,
            CallKind::Plain => self.run_plain(response, started).await,
        }
    }

    /// Reports the first token or byte to the core and records the time it took.
    async fn record_first_token(&self, started: Instant) {
        let attempt = self.dispatch.attempt;
        report_progress(self.shared, attempt, AttemptProgress::FirstToken).await;
        let took = started.elapsed();
        self.shared.metrics.observe_first_token(self.service, took);
    }

    /// Returns the failure for a connection that broke, or timed out if `is_silent`.
    fn connection_failure(&self, is_silent: bool) -> Failure {
        let answer_tokens = self.progress.answer_tokens;
        let forwarded = self.progress.forwarded;
        if is_silent {
            Failure::Silent {
                answer_tokens,
                forwarded,
            }
        } else {
            Failure::ConnectionLost {
                answer_tokens,
                forwarded,
            }
        }
    }
}

/// # Engines
impl<C: Clock> Attempt<'_, C> {
    /// Reads the events of an engine and forwards them if the caller requested a stream.
    async fn run_engine(
        &mut self,
        response: Response,
        started: Instant,
    ) -> Result<CompletedAttempt, Failure> {
        let status = response.status().as_u16();
        if !response.status().is_success() {
            return Err(if status < 500 || REFUSAL_STATUSES.contains(&status) {
                Failure::RefusedByUpstream { status }
            } else {
                Failure::UpstreamError { status }
            });
        }
        let times = UpstreamTimeouts::from(self.dispatch);
        let mut completion = Completion::default();
        let mut events = EventReader::new(response);
        loop {
            let limit = if completion.tokens() == 0 {
                times.first_token.saturating_sub(started.elapsed())
            } else {
                times.token_gap
            };
            let event = events
                .next(limit)
                .await
                .map_err(|error| self.connection_failure(error == EventError::Silent))?;
            let kind = completion.add_event(&event);
            if kind == EventKind::Done {
                return Ok(self.finish_engine(&completion));
            }
            if kind == EventKind::Token && completion.tokens() == 1 {
                self.record_first_token(started).await;
            }
            self.progress.answer_tokens = completion.tokens();
            self.forward_event(event).await?;
        }
    }

    /// Forwards an event if the caller requested a stream.
    async fn forward_event(&mut self, event: Bytes) -> Result<(), Failure> {
        if !self.kind.is_streaming() {
            return Ok(());
        }
        if self.is_cacheable {
            self.progress.cached_events.extend_from_slice(&event);
        }
        if !self.progress.forwarded {
            self.progress.forwarded = true;
            self.send_part(ReplyPart::Start).await?;
        }
        self.send_part(ReplyPart::Chunk(event)).await
    }

    /// Sends a part of the response to the caller.
    async fn send_part(&self, part: ReplyPart) -> Result<(), Failure> {
        let answer_tokens = self.progress.answer_tokens;
        let sent = self
            .reply_sender
            .send_timeout(part, CALLER_SEND_TIMEOUT)
            .await;
        sent.map_err(|_| Failure::CallerGone { answer_tokens })
    }

    /// Builds the result of an attempt whose event stream is complete.
    fn finish_engine(&self, completion: &Completion) -> CompletedAttempt {
        let CallKind::Engine {
            history,
            prompt_tokens,
            ..
        } = self.kind
        else {
            return CompletedAttempt {
                outcome: AttemptOutcome::default(),
                reply: None,
            };
        };
        let outcome = completion.build_outcome(*history, *prompt_tokens);
        let reply = (!self.progress.forwarded).then(|| Reply::json(200, &completion.to_json()));
        CompletedAttempt { outcome, reply }
    }
}

/// # Plain services
impl<C: Clock> Attempt<'_, C> {
    /// Reads the response of a plain service into memory.
    async fn run_plain(
        &mut self,
        mut response: Response,
        started: Instant,
    ) -> Result<CompletedAttempt, Failure> {
        self.record_first_token(started).await;
        let status = response.status().as_u16();
        let headers = response.headers();
        let is_marked_not_run = headers.get("kwd-ran").is_some_and(|ran| ran == "not_run");
        if REFUSAL_STATUSES.contains(&status) && is_marked_not_run {
            return Err(Failure::RefusedByUpstream { status });
        }
        if status >= 500 {
            return Err(Failure::UpstreamError { status });
        }
        let headers = filter_response_headers(headers);
        let gap = UpstreamTimeouts::from(self.dispatch).token_gap;
        let mut body = Vec::new();
        loop {
            match timeout(gap, response.chunk()).await {
                Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                Ok(Ok(None)) => break,
                Ok(Err(_)) => return Err(self.connection_failure(false)),
                Err(_) => return Err(self.connection_failure(true)),
            }
            if body.len() > MAX_PLAIN_BODY_BYTES {
                return Err(self.connection_failure(false));
            }
        }
        let reply = Reply {
            status,
            headers,
            body: Bytes::from(body),
        };
        Ok(CompletedAttempt {
            outcome: AttemptOutcome::default(),
            reply: Some(reply),
        })
    }
}
