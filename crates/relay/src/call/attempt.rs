//! Runs one attempt of a call on an upstream: sends the request and relays the response.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use http::request::Parts;
use http::{Response, StatusCode};
use knapweeddale_core::input::{AttemptOutcome, Failure, StatedRate, UpstreamStatement};
use knapweeddale_core::{Dispatch, Input, StreamFormat};
use knapweeddale_runtime::Clock;
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use super::history::KeptTurnProgress;
use super::reply::{RelayBody, Reply};
use super::request;
use super::responses::{is_authentic, to_caller_head, to_caller_response};
use super::silence::SilenceLimit;
use crate::adapter::{CallHead, Dialect, ForwardContext, ResponseInfo};
use crate::front::SharedState;
use crate::metrics::Stage;
use crate::upstream::{Connection, EventReader, Exchange, Path, ReadError, ResponseHead};

/// What a call has sent to its upstreams and forwarded to its caller so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Tokens that the current attempt forwarded.
    pub forwarded_tokens: u64,
    /// Tokens that all attempts forwarded.
    pub call_tokens: u64,
    /// The last event that was forwarded, by any attempt; an upstream resumes after it.
    pub last_event_id: Option<u64>,
    /// Whether an event was forwarded, by any attempt.
    pub is_stream_started: bool,
    /// Whether the current attempt may have sent a byte of the request.
    pub may_be_sent: bool,
    /// Addresses of the upstreams to which an attempt may have sent the request.
    pub sent_to: SmallVec<[Arc<str>; 4]>,
    /// Time from sending a request to the end of its response, summed over all attempts.
    pub upstream_time: Duration,
    /// The turn, if the system keeps it and it has begun.
    pub kept_turn: Option<KeptTurnProgress>,
}

impl Progress {
    /// Returns the failure of an attempt whose upstream sent nothing for too long.
    pub fn silent_failure(&self) -> Failure {
        Failure::Silent {
            answer_tokens: self.forwarded_tokens,
            forwarded: self.is_stream_started,
        }
    }
}

/// One attempt of a call on the upstream that the core selected.
pub(super) struct Attempt<'a, D, C> {
    pub shared: &'a SharedState<D, C>,
    pub parts: &'a Parts,
    pub body: &'a Bytes,
    pub head: &'a CallHead,
    pub dispatch: &'a Dispatch,
    pub is_repeatable: bool,
    pub reply: &'a mut Reply,
    pub progress: &'a mut Progress,
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// The response is complete; one that was not streamed has yet to be sent to the caller.
    Finished(AttemptOutcome, Option<Response<RelayBody>>),
    /// There is no complete response; the caller gets the upstream's error response if the call
    /// ends with this failure.
    Failed(Failure, Option<Response<RelayBody>>),
}

impl From<Failure> for AttemptEnd {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure, None)
    }
}

impl<D: Dialect, C: Clock> Attempt<'_, D, C> {
    /// Connects to the upstream, exchanges request and response, and returns the connection to
    /// the pool if it can be reused.
    pub async fn run(mut self) -> AttemptEnd {
        let now_us = self.shared.clock.now_us();
        let limit_us = if self.progress.is_stream_started {
            self.dispatch.stream_deadline_us
        } else {
            self.dispatch.deadline_us
        };
        let left_us = limit_us.saturating_sub(now_us);
        if left_us < 1_000 {
            return Failure::NotSent.into();
        }
        let started = Instant::now();
        let deadline = started + Duration::from_micros(left_us);
        let prompt = match self.load_prompt(deadline).await {
            Ok(prompt) => prompt,
            Err(failure) => return failure.into(),
        };
        let path = Path {
            upstream: self.dispatch.upstream.clone(),
            address: Arc::clone(&self.dispatch.address),
            proxy: self.dispatch.proxy.as_deref().cloned(),
        };
        let pool = &self.shared.pool;
        let acquired = pool.acquire(&path, self.reuse(), &self.shared.metrics);
        let mut connection = match timeout_at(deadline, acquired).await {
            Ok(Ok(acquired)) => {
                if acquired.is_new && path.proxy.is_none() {
                    self.report_accepted().await;
                }
                acquired.connection
            }
            Ok(Err(error)) => {
                let upstream = &self.dispatch.upstream;
                tracing::info!(%upstream, "upstream: connection failed ({error})");
                return Failure::from(&error).into();
            }
            Err(_) => return Failure::NotSent.into(),
        };
        connection.announce_request(self.head.request_id.as_deref().unwrap_or("-"));
        let sent = Instant::now();
        self.shared
            .metrics
            .observe_stage(Stage::Connect, sent.duration_since(started));
        let end = self.exchange(&mut connection, &prompt, deadline).await;
        self.progress.upstream_time += sent.elapsed();
        match end {
            Ok((end, keep_alive_s)) => {
                if let Some(keep_alive_s) = keep_alive_s {
                    pool.put_idle(&path, connection, keep_alive_s.0);
                }
                end
            }
            Err(failure) => failure.into(),
        }
    }

    /// Reports that the upstream has accepted a connection.
    async fn report_accepted(&self) {
        let accepted = Input::ConnectionAccepted(self.dispatch.upstream.clone());
        self.shared.inputs.send_input(accepted).await;
    }

    /// Sends the request and relays its response.
    ///
    /// Returns how the attempt ended and, if the connection can be reused, how long the upstream
    /// keeps it open.
    async fn exchange(
        &mut self,
        connection: &mut Connection,
        prompt: &Bytes,
        deadline: Instant,
    ) -> Result<(AttemptEnd, Option<KeepAlive>), Failure> {
        let left_ms = deadline.duration_since(Instant::now()).as_millis();
        let headers = self.shared.dialect.encode_headers(
            self.parts,
            ForwardContext {
                time_left_ms: u64::try_from(left_ms).unwrap_or(u64::MAX),
                upstream: &self.dispatch.upstream,
                account: self.dispatch.account.as_ref(),
                last_event_id: self.progress.last_event_id.or(self.head.last_event_id),
            },
        );
        let request = request::encode_request(self.parts, &headers, prompt);
        let sent = Instant::now();
        let silence = SilenceLimit {
            since: sent,
            limit_ms: self.dispatch.first_token_ms,
        };
        let (exchange, info) = self
            .send_request(connection, request, silence, deadline)
            .await?;
        let Exchange { head, unsent, .. } = exchange;
        // A 421 comes from another process than the expected one.
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            self.report_statements(&info).await;
        }
        let is_reusable = !unsent.has_remaining() && head.is_keep_alive;
        let end = match self.dispatch.events {
            Some(form) if head.status == StatusCode::OK && is_authentic(&head, &info) => {
                let end = self
                    .forward_stream(connection, &head, form, (sent, deadline))
                    .await?;
                (end, true)
            }
            _ => {
                self.receive_whole(connection, &head, &info, deadline)
                    .await?
            }
        };
        let keep_alive = (is_reusable && end.1).then_some(KeepAlive(info.keep_alive_s));
        Ok((end.0, keep_alive))
    }

    /// Reports what the upstream states of its condition, before its response is complete: a stream
    /// may last longer than the upstream accepts requests.
    async fn report_statements(&self, info: &ResponseInfo) {
        let upstream = &self.dispatch.upstream;
        let started_unix_ms = self.dispatch.upstream_started_unix_ms;
        if info.is_leaving {
            let notice = Input::UpstreamLeaving {
                upstream: upstream.clone(),
                started_unix_ms,
            };
            self.shared.inputs.send_input(notice).await;
        }
        if info.rate == StatedRate::Unreadable {
            tracing::warn!(%upstream, "upstream: stated rate ignored, it is not a number of 0 or more");
        }
        // Without a limit there is nothing to report, unless one has been in force.
        let states_rate = info.rate != StatedRate::Absent || self.dispatch.is_rate_limited;
        if states_rate || info.cold_ms.is_some() {
            let statement = UpstreamStatement {
                upstream: upstream.clone(),
                started_unix_ms,
                rate: info.rate,
                cold_ms: info.cold_ms,
            };
            let statement = Input::UpstreamRate(statement);
            self.shared.inputs.send_input(statement).await;
        }
    }

    /// Forwards a stream event by event.
    ///
    /// Once an event was forwarded, the stream deadline replaces that of the call.
    async fn forward_stream(
        &mut self,
        connection: &mut Connection,
        head: &ResponseHead,
        form: StreamFormat,
        (sent, deadline): (Instant, Instant),
    ) -> Result<AttemptEnd, Failure> {
        let mut last = sent;
        let grace_us = self.dispatch.stream_deadline_us - self.dispatch.deadline_us;
        let stream_deadline = deadline + Duration::from_micros(grace_us);
        let mut is_first = true;
        let mut events = EventReader::new(&self.shared.responses);
        let body = connection.body(&self.parts.method, head);
        let mut body = body.map_err(|error| self.failure(&error))?;
        loop {
            let limit_ms = if is_first {
                self.dispatch.first_token_ms
            } else {
                self.dispatch.token_gap_ms
            };
            let deadline = if self.progress.is_stream_started {
                stream_deadline
            } else {
                deadline
            };
            let silence = SilenceLimit {
                since: last,
                limit_ms,
            };
            let read = self.wait_for(body.next(), silence, deadline).await?;
            let bytes = match read {
                Err(error) => return Err(self.failure(&error)),
                Ok(Some(bytes)) => bytes,
                Ok(None) if events.has_partial() => return Err(self.failure(&ReadError::Ended)),
                Ok(None) => break,
            };
            events.push(&bytes).map_err(|error| self.failure(&error))?;
            while let Some(event) = events.next().await.map_err(|error| self.failure(&error))? {
                let stage = if is_first {
                    Stage::FirstByte
                } else {
                    Stage::EventGap
                };
                let now = Instant::now();
                self.shared
                    .metrics
                    .observe_stage(stage, now.duration_since(last));
                (last, is_first) = (now, false);
                // A resumed stream may repeat an event that was forwarded already.
                if event.id.is_some() && event.id <= self.progress.last_event_id {
                    continue;
                }
                self.check_tokens()?;
                // Recorded first: the caller may take the stream up as soon as it has the event.
                if form.is_resumable && !self.progress.is_stream_started {
                    self.record_origin();
                }
                // Not counted before it is queued: a cancelled attempt may end while it waits.
                self.send_part(head, event.bytes.clone(), stream_deadline)
                    .await?;
                self.progress.last_event_id = event.id.or(self.progress.last_event_id);
                self.progress.forwarded_tokens += form.tokens_per_event;
                self.progress.call_tokens += form.tokens_per_event;
                self.progress.is_stream_started = true;
                self.keep_output(&event)?;
            }
        }
        self.store_turn(stream_deadline).await?;
        let outcome = self.attempt_outcome();
        if self.progress.is_stream_started {
            self.reply.finish();
            return Ok(AttemptEnd::Finished(outcome, None));
        }
        let empty = to_caller_response(head, Bytes::new());
        Ok(AttemptEnd::Finished(outcome, Some(empty)))
    }

    /// Fails if the stream goes on after the last token that its request allows.
    ///
    /// What goes on then is no answer, and would be handed to the caller beyond the budget of its
    /// program.
    fn check_tokens(&self) -> Result<(), Failure> {
        let max_tokens = self.head.max_tokens;
        if max_tokens == 0 || self.progress.call_tokens < max_tokens {
            return Ok(());
        }
        Err(self.too_long(&format!("it goes on after {max_tokens} tokens")))
    }

    /// Logs a stream with more than its request allows and returns the failure.
    pub(super) fn too_long(&self, reason: &str) -> Failure {
        self.invalid_response(reason);
        Failure::TooLong {
            answer_tokens: self.progress.forwarded_tokens,
        }
    }

    /// Sends a part of the body to the caller, until the deadline if the caller reads slowly.
    pub(super) async fn send_part(
        &mut self,
        head: &ResponseHead,
        part: Bytes,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let sent = self.reply.send_part(|| to_caller_head(head), part);
        timeout_at(deadline, sent)
            .await
            .map_err(|_| Failure::CallerGone {
                answer_tokens: self.progress.forwarded_tokens,
            })
    }

    /// Records the origin of a stream, under the ID of the caller's attempt that began it.
    fn record_origin(&self) {
        let head = self.head;
        let resumed = head
            .resumes
            .as_ref()
            .filter(|_| head.last_event_id.is_some());
        if let Some(request_id) = resumed.or(head.request_id.as_ref()) {
            let origin = self.dispatch.origin.clone();
            self.shared.origins.record(request_id, origin);
        }
    }

    /// Returns the token counts of a complete response.
    pub(super) fn attempt_outcome(&self) -> AttemptOutcome {
        AttemptOutcome {
            prompt_tokens: self.head.prompt_tokens,
            answer_tokens: self.progress.forwarded_tokens,
            ..AttemptOutcome::default()
        }
    }

    /// Logs a response that could not be read to its end and returns the failure.
    pub(super) fn failure(&self, error: &ReadError) -> Failure {
        match error {
            ReadError::Malformed { reason } => return self.invalid_response(reason),
            ReadError::OutOfMemory { .. } => {
                return self.invalid_response("there is no memory for its length");
            }
            ReadError::Broken { .. } | ReadError::Ended => {}
        }
        let upstream = &self.dispatch.upstream;
        let attempt = self.dispatch.attempt;
        tracing::info!(%attempt, %upstream, "upstream: response lost ({error})");
        Failure::ConnectionLost {
            answer_tokens: self.progress.forwarded_tokens,
            forwarded: self.progress.is_stream_started,
        }
    }

    /// Logs a response that is not valid for the request and returns the failure.
    pub(super) fn invalid_response(&self, reason: &str) -> Failure {
        let upstream = &self.dispatch.upstream;
        let attempt = self.dispatch.attempt;
        tracing::warn!(%attempt, %upstream, "upstream: response cannot be used ({reason})");
        Failure::InvalidResponse {
            answer_tokens: self.progress.forwarded_tokens,
            forwarded: self.progress.is_stream_started,
        }
    }
}

/// Seconds that an upstream keeps an idle connection open; `None` if it states none.
#[derive(Debug, Clone, Copy)]
struct KeepAlive(Option<u64>);
