//! Receives responses that are no stream: decides from the head what becomes of the body.

use bytes::Bytes;
use http::StatusCode;
use knapweeddale_core::input::{AttemptOutcome, Failure};
use knapweeddale_runtime::Clock;
use tokio::time::Instant;

use super::attempt::{Attempt, AttemptEnd};
use super::responses::{implies_not_run, is_authentic, to_caller_response};
use super::silence::SilenceLimit;
use crate::adapter::{Dialect, ResponseInfo};
use crate::upstream::{Body, Collected, Connection, ReadError, ResponseHead};

/// Longest response body, except of streams.
pub(super) const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// What becomes of a response, as its head shows.
enum Verdict {
    /// The attempt has failed, and the connection can be used again after the body.
    Refused(Failure),
    /// The attempt has failed, and the rest of the response is not read.
    Invalid(Failure),
    /// The caller gets the response if no other attempt of the call succeeds.
    Error(Failure),
    /// The caller gets the response.
    Answer,
}

impl<D: Dialect, C: Clock> Attempt<'_, D, C> {
    /// Receives a response that is no stream.
    ///
    /// Returns how the attempt ended and whether the connection can be used again.
    pub(super) async fn receive_whole(
        &mut self,
        connection: &mut Connection,
        head: &ResponseHead,
        info: &ResponseInfo,
        deadline: Instant,
    ) -> Result<(AttemptEnd, bool), Failure> {
        let verdict = self.judge_head(head, info);
        if let Verdict::Invalid(failure) = verdict {
            return Err(failure);
        }
        let body = connection.body(&self.parts.method, head);
        let mut body = body.map_err(|error| self.failure(&error))?;
        let end = match verdict {
            Verdict::Refused(failure) | Verdict::Invalid(failure) => {
                let read = body.discard(MAX_BODY_BYTES);
                self.wait_for_body(read, deadline).await?;
                failure.into()
            }
            Verdict::Error(failure) => self.keep_error(&mut body, head, failure, deadline).await?,
            Verdict::Answer => self.forward_whole(&mut body, head, deadline).await?,
        };
        Ok((end, body.allows_reuse()))
    }

    /// Decides from the head of a response what becomes of it.
    ///
    /// A response that is not the upstream's own is invalid whatever follows, so that an upstream
    /// in trouble, which may send bytes without end, costs no memory.
    fn judge_head(&self, head: &ResponseHead, info: &ResponseInfo) -> Verdict {
        let status = head.status;
        let code = status.as_u16();
        let refuses = info.is_not_run && (status.is_server_error() || implies_not_run(status));
        if refuses || status == StatusCode::MISDIRECTED_REQUEST {
            return Verdict::Refused(Failure::RefusedByUpstream { status: code });
        }
        let error = Failure::UpstreamError { status: code };
        if self.progress.is_stream_started {
            // The caller has the head of another response; no other status can follow it.
            return Verdict::Invalid(error);
        }
        if status.is_success() && !is_authentic(head, info) {
            return Verdict::Invalid(
                self.invalid_response("it is unsigned or has a content-encoding"),
            );
        }
        if implies_not_run(status) {
            // Not forwarded, since the upstream does not confirm that the request did not run.
            return Verdict::Refused(error);
        }
        if status.is_server_error() {
            return Verdict::Error(error);
        }
        Verdict::Answer
    }

    /// Keeps an error response for the case that the call ends with it.
    ///
    /// One that is too long for the memory is left out, as if the upstream had sent no text.
    async fn keep_error(
        &self,
        body: &mut Body<'_>,
        head: &ResponseHead,
        failure: Failure,
        deadline: Instant,
    ) -> Result<AttemptEnd, Failure> {
        let response = match self.collect(body, deadline).await? {
            Collected::Whole(text) => Some(to_caller_response(head, text)),
            Collected::Start(_) => None,
        };
        Ok(AttemptEnd::Failed(failure, response))
    }

    /// Reads a response and returns it; passes it on in parts if there is no memory for the whole.
    async fn forward_whole(
        &mut self,
        body: &mut Body<'_>,
        head: &ResponseHead,
        deadline: Instant,
    ) -> Result<AttemptEnd, Failure> {
        match self.collect(body, deadline).await? {
            Collected::Whole(bytes) => {
                let response = to_caller_response(head, bytes);
                Ok(AttemptEnd::Finished(self.attempt_outcome(), Some(response)))
            }
            Collected::Start(start) => {
                let outcome = self.pass_on(body, head, start, deadline).await?;
                Ok(AttemptEnd::Finished(outcome, None))
            }
        }
    }

    /// Reads a body as far as there is memory for it; the bytes hold their permit.
    async fn collect(&self, body: &mut Body<'_>, deadline: Instant) -> Result<Collected, Failure> {
        let read = body.collect(MAX_BODY_BYTES, self.shared.responses.permit());
        self.wait_for_body(read, deadline).await
    }

    /// Passes a response on as it arrives. One that breaks off also breaks off for the caller.
    async fn pass_on(
        &mut self,
        body: &mut Body<'_>,
        head: &ResponseHead,
        start: Bytes,
        deadline: Instant,
    ) -> Result<AttemptOutcome, Failure> {
        let attempt = self.dispatch.attempt;
        let upstream = &self.dispatch.upstream;
        tracing::info!(%attempt, %upstream, "call: response passed on in parts, no memory is left");
        self.shared.metrics.count_passed_response();
        let mut passed_bytes = 0;
        let mut next = Some(start);
        while let Some(part) = next {
            passed_bytes += part.len();
            let checked = body.check_length(passed_bytes, MAX_BODY_BYTES);
            checked.map_err(|error| self.failure(&error))?;
            self.progress.is_stream_started = true;
            self.send_part(head, part, deadline).await?;
            next = self.wait_for_body(body.next(), deadline).await?;
        }
        self.reply.finish();
        Ok(self.attempt_outcome())
    }

    /// Waits for a step of reading a body.
    async fn wait_for_body<T>(
        &self,
        read: impl Future<Output = Result<T, ReadError>>,
        deadline: Instant,
    ) -> Result<T, Failure> {
        let silence = SilenceLimit {
            since: Instant::now(),
            limit_ms: self.dispatch.token_gap_ms,
        };
        let read = self.wait_for(read, silence, deadline).await?;
        read.map_err(|error| self.failure(&error))
    }
}
