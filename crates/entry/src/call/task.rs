//! The task of a call.

use std::sync::Arc;

use bytes::Bytes;
use knapweeddale_core::input::{AttemptProgress, Continuation, Failure, Permit};
use knapweeddale_core::output::Answered;
use knapweeddale_core::{
    AttemptId, CallId, ContentDigest, Dispatch, Execution, Input, Refusal, RefusalKind,
};
use knapweeddale_peer::Peers;
use knapweeddale_token::HistoryChain;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::{Attempt, CALLER_SEND_TIMEOUT, CompletedAttempt, Progress, report_progress};
use super::in_flight::InFlightGuard;
use super::reply::{
    EVENT_STREAM, Reply, ReplyPart, SignedTokens, build_error_body, encode_last_event,
};
use crate::control::CallOutput;
use crate::front::SharedState;
use crate::upstream::UpstreamRequest;
use knapweeddale_runtime::Clock;

/// The kind of a call, with the data that only this kind has.
#[derive(Debug, Clone)]
pub(crate) enum CallKind {
    /// A completion, run by an engine.
    Engine {
        /// Whether the caller requested a stream.
        stream: bool,
        /// The digest chain of the messages in the request.
        history: HistoryChain,
        /// Estimated number of prompt tokens.
        prompt_tokens: u64,
    },
    /// A request to a plain service.
    Plain,
}

impl CallKind {
    /// Returns whether the caller requested a stream.
    pub fn is_streaming(&self) -> bool {
        matches!(self, Self::Engine { stream: true, .. })
    }
}

/// What a task needs to begin.
#[derive(Debug)]
pub(crate) struct CallContext {
    /// The ID of the call.
    pub call: CallId,
    /// The request to send to upstreams.
    pub request: UpstreamRequest,
    /// Whether the call is a completion or a request to a plain service.
    pub kind: CallKind,
    /// Digest of the content; a repeated call must have the same one to get a cached response.
    pub digest: ContentDigest,
    /// Metric label of the service; has a bounded number of values.
    pub service: String,
    /// Whether the response is cached, in case the caller repeats the call.
    pub is_cacheable: bool,
}

/// The task of a call: carries out what the core decides for it.
pub(crate) struct CallTask<C> {
    shared: Arc<SharedState<C>>,
    context: CallContext,
    outputs: mpsc::Receiver<CallOutput>,
    reply_sender: mpsc::Sender<ReplyPart>,
    started: Instant,
    progress: Progress,
    finished: Option<CompletedAttempt>,
    is_disconnected: bool,
    _guard: InFlightGuard,
}

/// Why a running attempt stopped.
enum AttemptStop {
    /// The attempt completed or failed.
    Ended(Result<CompletedAttempt, Failure>),
    /// The core cancelled it.
    Cancelled,
    /// The core sent another output for the call, or `None` if the channel closed.
    Output(Option<CallOutput>),
    /// The caller disconnected.
    CallerGone,
}

impl<C: Clock> CallTask<C> {
    /// Creates the task of a call and registers the call as in flight.
    pub fn new(
        shared: Arc<SharedState<C>>,
        context: CallContext,
        outputs: mpsc::Receiver<CallOutput>,
        reply_sender: mpsc::Sender<ReplyPart>,
    ) -> Self {
        let guard = shared.in_flight.register(context.call);
        Self {
            shared,
            context,
            outputs,
            reply_sender,
            started: Instant::now(),
            progress: Progress::default(),
            finished: None,
            is_disconnected: false,
            _guard: guard,
        }
    }

    /// Carries out the outputs of the core until the call has ended.
    pub async fn run(mut self) {
        let mut next = self.next_output().await;
        loop {
            next = match next {
                Some(CallOutput::Dispatch(dispatch)) => match self.execute(&dispatch).await {
                    Some(output) => output,
                    None => self.next_output().await,
                },
                Some(CallOutput::Answered(answered)) => return self.send_response(*answered).await,
                Some(CallOutput::Refused(refusal)) => return self.refuse(&refusal, None).await,
                Some(CallOutput::Replay {
                    peer,
                    original,
                    continuation,
                    permit,
                }) => {
                    let tokens = self.sign_tokens(Some(&continuation), permit.as_deref());
                    return self.replay_response(peer, original, tokens).await;
                }
                // No attempt is running that could be cancelled; the other two outputs belong to
                // requests about programs, not to calls.
                Some(CallOutput::Cancel(_) | CallOutput::Permit(_) | CallOutput::Ended) => {
                    self.next_output().await
                }
                None => return self.abort().await,
            };
        }
    }

    /// Waits for the next output; reports once to the core if the caller disconnects.
    async fn next_output(&mut self) -> Option<CallOutput> {
        if !self.is_disconnected && self.finished.is_none() {
            tokio::select! {
                biased;
                output = self.outputs.recv() => return output,
                () = self.reply_sender.closed() => {}
            }
            self.is_disconnected = true;
            let abandoned = Input::CallAbandoned(self.context.call);
            self.shared.inputs.send_input(abandoned).await;
        }
        self.outputs.recv().await
    }
}

/// # Attempts
impl<C: Clock> CallTask<C> {
    /// Runs an attempt and reports its result; returns the output that interrupted it, if any.
    async fn execute(&mut self, dispatch: &Dispatch) -> Option<Option<CallOutput>> {
        let attempt = dispatch.attempt;
        self.progress = Progress {
            forwarded: self.progress.forwarded,
            ..Progress::default()
        };
        let failure = match self.run_attempt(dispatch).await {
            AttemptStop::Ended(Ok(finished)) => {
                let outcome = finished.outcome;
                self.finished = Some(finished);
                report_progress(&self.shared, attempt, AttemptProgress::Finished(outcome)).await;
                return None;
            }
            AttemptStop::Ended(Err(failure)) => failure,
            AttemptStop::CallerGone => Failure::CallerGone {
                answer_tokens: self.progress.answer_tokens,
            },
            AttemptStop::Cancelled => return None,
            AttemptStop::Output(output) => return Some(output),
        };
        report_progress(&self.shared, attempt, AttemptProgress::Failed(failure)).await;
        None
    }

    /// Runs an attempt until it ends or is interrupted.
    ///
    /// Dropping the attempt closes its connection, which cancels the request at the engine.
    async fn run_attempt(&mut self, dispatch: &Dispatch) -> AttemptStop {
        let run = Attempt {
            shared: &self.shared,
            dispatch,
            request: &self.context.request,
            kind: &self.context.kind,
            service: &self.context.service,
            reply_sender: &self.reply_sender,
            is_cacheable: self.context.is_cacheable,
            progress: &mut self.progress,
        };
        tokio::select! {
            ended = run.run() => AttemptStop::Ended(ended),
            stopped = wait_for_interruption(&mut self.outputs, dispatch.attempt) => stopped,
            () = self.reply_sender.closed() => AttemptStop::CallerGone,
        }
    }
}

/// Waits for an output that interrupts the running attempt.
async fn wait_for_interruption(
    outputs: &mut mpsc::Receiver<CallOutput>,
    running: AttemptId,
) -> AttemptStop {
    loop {
        match outputs.recv().await {
            Some(CallOutput::Cancel(id)) if id == running => return AttemptStop::Cancelled,
            Some(CallOutput::Cancel(_)) => {}
            output => return AttemptStop::Output(output),
        }
    }
}

/// # Final responses
impl<C: Clock> CallTask<C> {
    /// Sends the response of an upstream, or the end of its stream, to the caller.
    async fn send_response(mut self, answered: Answered) {
        let Some(finished) = self.finished.take() else {
            return self.abort().await;
        };
        let took = self.started.elapsed();
        self.shared
            .metrics
            .observe_call(&self.context.service, took);
        let tokens = self.sign_tokens(answered.continuation.as_ref(), answered.permit.as_ref());
        let call = self.context.call;
        if let Some(reply) = finished.reply {
            self.cache_reply(&reply);
            let reply = reply.with_run_headers(call, &tokens);
            self.send_part(ReplyPart::Whole(reply)).await;
            return;
        }
        let body = std::mem::take(&mut self.progress.cached_events);
        self.cache_reply(&build_stream_reply(body));
        self.send_part(ReplyPart::Chunk(encode_last_event(call, &tokens)))
            .await;
    }

    /// Signs the tokens that the caller sends with the next turn.
    fn sign_tokens(
        &self,
        continuation: Option<&Continuation>,
        permit: Option<&Permit>,
    ) -> SignedTokens {
        let signer = &self.shared.signer;
        SignedTokens {
            continuation: continuation.map(|value| signer.sign(value)),
            permit: permit.map(|value| signer.sign(value)),
        }
    }

    /// Caches a response in case the caller repeats the call.
    fn cache_reply(&self, reply: &Reply) {
        if self.context.is_cacheable {
            let now_us = self.shared.clock.now_us();
            let cache = &self.shared.response_cache;
            cache.insert(
                now_us,
                self.context.call,
                self.context.digest,
                reply.clone(),
            );
        }
    }

    /// Sends a refusal to the caller; `detail` replaces the general message.
    async fn refuse(self, refusal: &Refusal, detail: Option<&str>) {
        if !self.progress.forwarded {
            let reply = Reply::refused(refusal, detail);
            return self.send_part(ReplyPart::Whole(reply)).await;
        }
        // The status was already sent, so the error becomes the last event of the stream.
        let body = build_error_body(refusal, detail);
        let event = Bytes::from(format!("data: {body}\n\n"));
        self.send_part(ReplyPart::Chunk(event)).await;
    }

    /// Sends the cached response of the original call to the caller, fetching it from a peer
    /// if one is given.
    async fn replay_response(self, peer: Option<String>, original: CallId, tokens: SignedTokens) {
        let digest = self.context.digest;
        let reply = match peer {
            None => self.shared.response_cache.get(original, digest),
            Some(address) => {
                let options = &self.shared.peer_options;
                let fetched = Peers::fetch_response(options, &address, original, digest).await;
                match fetched {
                    Ok(response) => response.map(Reply::from),
                    Err(error) => {
                        tracing::warn!(
                            "homes: cannot fetch the response of call {original} from {address}, {error}"
                        );
                        None
                    }
                }
            }
        };
        let Some(reply) = reply else {
            let refusal = Refusal {
                call: self.context.call,
                kind: RefusalKind::DuplicateTurn,
                ran: Execution::Ran,
                retry_after_ms: None,
            };
            let detail =
                "the turn ran before; its response is no longer kept, or the content differs";
            return self.refuse(&refusal, Some(detail)).await;
        };
        let mut reply = reply;
        if reply.header("content-type") == Some(EVENT_STREAM) {
            let mut body = reply.body.to_vec();
            body.extend_from_slice(&encode_last_event(original, &tokens));
            reply.body = Bytes::from(body);
        }
        let reply = reply.with_run_headers(original, &tokens);
        self.send_part(ReplyPart::Whole(reply)).await;
    }

    /// Refuses a call that the control thread no longer tracks.
    async fn abort(self) {
        let ran = if self.finished.is_some() {
            Execution::Ran
        } else {
            Execution::MayHaveRun
        };
        let refusal = Refusal {
            call: self.context.call,
            kind: RefusalKind::UpstreamFailed,
            ran,
            retry_after_ms: None,
        };
        self.refuse(&refusal, Some("the VM stopped while the call ran"))
            .await;
    }

    /// Sends the last part to the caller; has no effect if the caller disconnected.
    async fn send_part(&self, part: ReplyPart) {
        let _ = self
            .reply_sender
            .send_timeout(part, CALLER_SEND_TIMEOUT)
            .await;
    }
}

/// Builds a whole response from the events of a stream, without the last event.
fn build_stream_reply(body: Vec<u8>) -> Reply {
    Reply {
        status: 200,
        headers: vec![("content-type".to_owned(), EVENT_STREAM.to_owned())],
        body: Bytes::from(body),
    }
}
