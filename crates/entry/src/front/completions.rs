//! `POST /v1/chat/completions`.

use std::sync::Arc;

use knapweeddale_core::{CallId, ModelName, NewCall, ProgramTurn, RefusalKind, Target};
use knapweeddale_token::{HistoryChain, content_digest};
use reqwest::Method;
use reqwest::header::{HeaderMap, HeaderValue};
use rocket::data::Data;
use rocket::request::Request;
use serde_json::{Map, Value, json};

use super::canonical::canonical_message;
use super::refuse::FrontError;
use super::respond::CallerResponse;
use super::services::read_body;
use super::shared::SharedState;
use crate::call::{CallContext, CallKind};
use crate::upstream::UpstreamRequest;
use knapweeddale_runtime::Clock;

/// The path of completions, both of knapweeddale and of engines.
pub(crate) const PATH: &str = "/v1/chat/completions";

/// Maximum tokens of the response if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// Bytes of a message per token, for estimates. Common tokenizers need 3 to 5 bytes of text per
/// token; the lower bound makes a reservation too large rather than too small.
const BYTES_PER_TOKEN: usize = 3;

/// Tokens that engines add to each message for its role and delimiters.
const TOKENS_PER_MESSAGE: u64 = 8;

/// Headers of callers that are forwarded to engines.
const ENGINE_HEADERS: [&str; 3] = ["traceparent", "tracestate", "x-request-id"];

/// A parsed request body, with the values that routing needs.
#[derive(Debug)]
struct Body {
    fields: Map<String, Value>,
    model: ModelName,
    stream: bool,
    max_tokens: u64,
    prompt_tokens: u64,
    /// The digest chain before the first message and after each message.
    history: Vec<HistoryChain>,
}

impl<C: Clock> SharedState<C> {
    /// Handles a completion request.
    pub async fn run_completion(
        self: &Arc<Self>,
        id: CallId,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<CallerResponse, FrontError> {
        let headers = self.read_headers(request)?;
        let raw = read_body(data, self.max_body_bytes).await?;
        headers.reject_exposed_key("body", &raw)?;
        let body = Body::parse(&raw)?;
        let service = self.model_label(&body.model);
        self.metrics.count_request(&service);
        if let Some(program) = &headers.program {
            self.check_draining(program)?;
            body.check_history(program)?;
        }
        let digest = content_digest([PATH.as_bytes(), &raw]);
        let new = NewCall::builder()
            .id(id)
            .maybe_key(headers.presented_key())
            .target(Target::Model(body.model.clone()))
            .maybe_program(headers.program.clone())
            .maybe_permit(headers.permit.clone())
            .prompt_tokens(body.prompt_tokens)
            .max_tokens(body.max_tokens)
            .digest(digest)
            .build();
        let context = CallContext {
            call: id,
            kind: body.call_kind(),
            digest,
            service,
            is_cacheable: headers.program.is_some(),
            request: UpstreamRequest {
                call: id,
                method: Method::POST,
                path: PATH.to_owned(),
                headers: engine_headers(&headers.forwarded),
                body: body.encode_for_engine().into(),
            },
        };
        self.start_call(new, context).await
    }

    /// Refuses new programs while the VM is stopping.
    pub fn check_draining(&self, program: &ProgramTurn) -> Result<(), FrontError> {
        let is_draining = self.draining.load(std::sync::atomic::Ordering::Relaxed);
        if is_draining && program.turn == 1 {
            return Err(FrontError::draining());
        }
        Ok(())
    }
}

impl Body {
    /// Parses and validates a request body.
    fn parse(raw: &[u8]) -> Result<Self, FrontError> {
        let fields: Map<String, Value> =
            serde_json::from_slice(raw).map_err(|e| malformed("", &format!("not JSON ({e})")))?;
        let model = match fields.get("model").and_then(Value::as_str) {
            Some(model) if !model.is_empty() => ModelName::from(model),
            _ => return Err(malformed("`model`", "missing or no text")),
        };
        let messages = match fields.get("messages").and_then(Value::as_array) {
            Some(messages) if !messages.is_empty() => messages,
            _ => return Err(malformed("`messages`", "missing, empty or no list")),
        };
        let mut prompt_tokens = 0;
        let mut chain = HistoryChain::default();
        let mut history = vec![chain];
        for (number, message) in messages.iter().enumerate() {
            if !message["role"].is_string() {
                return Err(malformed(&format!("`messages[{number}].role`"), "no text"));
            }
            let canonical = canonical_message(message);
            prompt_tokens += canonical.len().div_ceil(BYTES_PER_TOKEN) as u64 + TOKENS_PER_MESSAGE;
            chain.extend(&canonical);
            history.push(chain);
        }
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(malformed("`stream`", "neither true nor false")),
        };
        Ok(Self {
            max_tokens: read_max_tokens(&fields)?,
            model,
            stream,
            prompt_tokens,
            history,
            fields,
        })
    }

    /// Checks that the messages start with the history that the continuation signs.
    fn check_history(&self, program: &ProgramTurn) -> Result<(), FrontError> {
        let Some(continuation) = &program.continuation else {
            return Ok(());
        };
        let signed = continuation.history;
        if self.history.iter().any(|chain| chain.digest() == signed) {
            return Ok(());
        }
        let detail = "the messages do not start with those of the last turn and its response";
        Err(FrontError::new(RefusalKind::HistoryMismatch, detail))
    }

    /// Returns the kind of the call, with the data that its task needs.
    fn call_kind(&self) -> CallKind {
        CallKind::Engine {
            stream: self.stream,
            history: self.history.last().copied().unwrap_or_default(),
            prompt_tokens: self.prompt_tokens,
        }
    }

    /// Encodes the body for engines.
    ///
    /// Engines always stream, because only a stream reveals a silent connection in time.
    fn encode_for_engine(&self) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), json!(true));
        fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
        if !fields.contains_key("max_completion_tokens") {
            fields.insert("max_tokens".to_owned(), json!(self.max_tokens));
        }
        Value::Object(fields).to_string().into_bytes()
    }
}

/// Reads the token limit of the response.
fn read_max_tokens(fields: &Map<String, Value>) -> Result<u64, FrontError> {
    let names = ["max_completion_tokens", "max_tokens"];
    let field = names
        .into_iter()
        .find_map(|name| Some((name, fields.get(name).filter(|value| !value.is_null())?)));
    let Some((name, value)) = field else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    match value.as_u64() {
        Some(tokens) if tokens > 0 => Ok(tokens),
        _ => Err(malformed(&format!("`{name}`"), "no number from 1")),
    }
}

/// Creates the error for a malformed field, or for the whole body if `field` is empty.
fn malformed(field: &str, fault: &str) -> FrontError {
    let field = if field.is_empty() { "the body" } else { field };
    FrontError::malformed(format!("{field} is {fault}"))
}

/// Returns the headers to send to engines.
fn engine_headers(forwarded: &HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in ENGINE_HEADERS {
        if let Some(value) = forwarded.get(name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert("accept", HeaderValue::from_static("text/event-stream"));
    headers
}
