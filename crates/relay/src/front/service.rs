//! Handles one HTTP request.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use knapweeddale_core::{
    CallId, ContentDigest, Execution, Input, NewCall, Refusal, RefusalKind, RelayedCall,
    StreamStart, Target,
};
use knapweeddale_runtime::Clock;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::SharedState;
use super::body::{BodyLimits, read_body};
use crate::adapter::{CallHead, Dialect};
use crate::call::{
    CallContext, CallTask, CallerResponse, RelayBody, Reply, caller_guard, to_response,
};
use crate::control::Message;
use crate::origins::OriginLookup;

/// Core outputs queued for one call's task.
const MAX_QUEUED_OUTPUTS: usize = 8;

/// Timeout of a call whose caller states none.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Part of the timeout reserved for sending the response back to the caller.
const RESPONSE_MARGIN_MS: u64 = 20;

/// Path of the metrics, on the readiness listener.
const METRICS_PATH: &str = "/metrics";

/// The kind of requests that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Calls of agent programs.
    Calls,
    /// Readiness checks of the load balancer, and metrics scrapes.
    Readiness,
}

/// Handles one request.
pub(super) async fn handle_request<D: Dialect, C: Clock>(
    shared: Arc<SharedState<D, C>>,
    kind: ListenerKind,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    Ok(match kind {
        ListenerKind::Readiness => readiness_response(&shared, request.uri().path()),
        ListenerKind::Calls => relay_call(shared, request).await,
    })
}

/// Reports whether this VM accepts calls; serves the metrics at their path.
fn readiness_response<D: Dialect, C>(
    shared: &SharedState<D, C>,
    path: &str,
) -> Response<RelayBody> {
    if path == METRICS_PATH {
        return metrics_response(shared);
    }
    let is_draining = shared.is_draining.load(Ordering::Relaxed);
    let is_ready = shared.status.borrow().is_ready && !is_draining;
    let status = match (shared.dialect.is_readiness_path(path), is_ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    plain_response(status, Bytes::new())
}

/// Returns the metrics in the Prometheus text format.
fn metrics_response<D, C>(shared: &SharedState<D, C>) -> Response<RelayBody> {
    shared.metrics.set_buffered_bytes([
        ("requests", shared.requests.used_bytes()),
        ("responses", shared.responses.used_bytes()),
        ("kept_turns", shared.turns.memory().held_bytes()),
        ("turn_transfers", shared.turns.memory().transfer_bytes()),
        ("cached_turns", shared.turns.cached_bytes()),
    ]);
    match shared.metrics.to_text() {
        Ok(text) => plain_response(StatusCode::OK, Bytes::from(text)),
        Err(error) => {
            tracing::error!("metrics: cannot be encoded ({error})");
            plain_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

/// Creates a response without headers.
fn plain_response(status: StatusCode, body: Bytes) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::whole(body));
    *response.status_mut() = status;
    response
}

/// Submits a call to the core, spawns its task and returns the response.
async fn relay_call<D: Dialect, C: Clock>(
    shared: Arc<SharedState<D, C>>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    shared.metrics.count_request();
    let arrived_us = shared.clock.now_us();
    let call = shared.call_ids.next();
    let (parts, body) = request.into_parts();
    let head = match shared.dialect.decode_request(&parts) {
        Ok(head) => head,
        Err(error) => {
            tracing::info!(%call, "front: request refused ({error})");
            return refuse_call(&shared, call, RefusalKind::Malformed);
        }
    };
    let timeout_ms = head.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let limits = BodyLimits {
        max_bytes: shared.body_limit(),
        deadline: Instant::now() + Duration::from_millis(timeout_ms),
    };
    let body = match read_body(body, limits, shared.requests.permit()).await {
        Ok(body) => body,
        Err(kind) => {
            let request = head.request_id.as_deref().unwrap_or("-");
            tracing::info!(request, %call, "front: body refused as {kind}");
            return refuse_call(&shared, call, kind);
        }
    };
    let stream_start = tokio::select! {
        biased;
        () = shared.wait_for_halt() => return refuse_call(&shared, call, RefusalKind::Draining),
        stream_start = find_stream_start(&shared, &head) => stream_start,
    };
    let (outputs_sender, outputs) = mpsc::channel(MAX_QUEUED_OUTPUTS);
    let open = Message::Open {
        call,
        request: head.request_id.clone().unwrap_or_else(|| "-".into()),
        input: Input::CallArrived(Box::new(to_new_call(
            call,
            arrived_us,
            stream_start,
            &parts,
            &head,
            &body,
        ))),
        outputs: outputs_sender,
    };
    if shared.inputs.try_send(open).is_err() {
        tracing::warn!(%call, "front: request refused, the input queue is full");
        return refuse_call(&shared, call, RefusalKind::Overloaded);
    }
    let (reply, response) = Reply::new();
    let (guard, disconnected) = caller_guard();
    let context = CallContext {
        call,
        parts,
        body,
        head,
        outputs,
        reply,
        disconnected,
    };
    tokio::spawn(CallTask::new(Arc::clone(&shared), context).run());
    match response.await {
        Ok(CallerResponse::Whole(response)) => response,
        Ok(CallerResponse::Stream(head, parts)) => {
            let body = RelayBody::Parts {
                parts,
                _guard: guard,
            };
            Response::from_parts(*head, body)
        }
        Err(_) => {
            tracing::error!(%call, "call: task ended without a response");
            plain_response(StatusCode::BAD_GATEWAY, Bytes::new())
        }
    }
}

/// Returns whether a request begins a stream or goes on with one, and with which.
async fn find_stream_start<D, C>(shared: &SharedState<D, C>, head: &CallHead) -> StreamStart {
    let Some(last_event_id) = head.last_event_id else {
        return StreamStart::New;
    };
    match &head.resumes {
        Some(request_id) => match shared.origins.find(request_id).await {
            OriginLookup::Found(origin) => StreamStart::ResumedFrom(origin),
            OriginLookup::Unknown => StreamStart::ResumedUnknown,
            OriginLookup::Unanswered => StreamStart::ResumedUnverified,
        },
        None if last_event_id == 0 => StreamStart::New,
        None => StreamStart::ResumedUnverified,
    }
}

/// Converts a request to the call that the core receives.
fn to_new_call(
    call: CallId,
    arrived_us: u64,
    stream_start: StreamStart,
    parts: &Parts,
    head: &CallHead,
    body: &Bytes,
) -> NewCall {
    let timeout_ms = head.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let relayed = RelayedCall::builder()
        .deadline_us(arrived_us + timeout_ms.saturating_sub(RESPONSE_MARGIN_MS) * 1_000)
        .spread_hash(spread_hash(head))
        .maybe_model(head.model.clone())
        .maybe_program(head.program.clone())
        .maybe_line(head.line)
        .maybe_budget_tokens(head.budget_tokens)
        .maybe_program_deadline_us(head.program_deadline_ms.map(|ms| arrived_us + ms * 1_000))
        .maybe_expected_answer_tokens(head.expected_answer_tokens)
        .stream_start(stream_start)
        .build();
    NewCall::builder()
        .id(call)
        .maybe_key(head.key.clone())
        .target(Target::Host {
            host: Arc::clone(&head.host),
            path: Arc::clone(&head.path),
        })
        .prompt_tokens(head.prompt_tokens)
        .max_tokens(head.max_tokens)
        .digest(content_digest(parts, head, body))
        .relayed(Box::new(relayed))
        .build()
}

/// Hashes the request ID to spread requests over the backends of a route.
fn spread_hash(head: &CallHead) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    head.request_id.hash(&mut hasher);
    hasher.finish()
}

/// Returns a digest of the request that is the same when its caller sends it again.
fn content_digest(parts: &Parts, head: &CallHead, body: &Bytes) -> ContentDigest {
    let mut hasher = Sha256::new();
    hasher.update(parts.method.as_str());
    hasher.update(parts.uri.path_and_query().map_or("/", |path| path.as_str()));
    if let Some(key) = &head.key {
        hasher.update(key.id.as_str());
    }
    hasher.update(body);
    let sha256 = hasher.finalize();
    let mut digest = ContentDigest::default();
    let len = digest.0.len();
    digest.0.copy_from_slice(&sha256[..len]);
    digest
}

/// Refuses a call before it reaches the core.
fn refuse_call<D: Dialect, C>(
    shared: &SharedState<D, C>,
    call: CallId,
    kind: RefusalKind,
) -> Response<RelayBody> {
    shared.metrics.count_refusal(kind);
    to_response(shared.dialect.encode_refusal(&Refusal {
        call,
        kind,
        ran: Execution::NotRun,
        retry_after_ms: None,
    }))
}
