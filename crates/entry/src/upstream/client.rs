//! Requests to upstreams.

use std::time::Duration;

use bytes::Bytes;
use knapweeddale_core::input::Failure;
use knapweeddale_core::{CallId, Dispatch};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, Response, redirect, retry};
use tokio::time::timeout;

/// Longest wait for a connection. Upstreams are about 1 ms away; a connection
/// that takes longer would only delay the choice of another upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unused connection is closed. It is below the 5 s after
/// which common HTTP servers close theirs, so that no request meets a
/// connection that is just being closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A request to an upstream, the same for each attempt.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamRequest {
    /// The call.
    pub call: CallId,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers that upstreams may see.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Time limits of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamTimeouts {
    /// Longest wait for the first byte or token.
    pub first_token: Duration,
    /// Longest pause within the response.
    pub token_gap: Duration,
}

impl From<&Dispatch> for UpstreamTimeouts {
    fn from(dispatch: &Dispatch) -> Self {
        Self {
            first_token: Duration::from_millis(dispatch.first_token_ms),
            token_gap: Duration::from_millis(dispatch.token_gap_ms),
        }
    }
}

/// The client of upstreams.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamClient(Client);

impl UpstreamClient {
    /// Makes a client that sends each request once.
    ///
    /// Retries and redirects would run a request again that must not be
    /// repeated, and a proxy would see what upstreams see.
    pub fn new() -> reqwest::Result<Self> {
        Client::builder()
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .referer(false)
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build()
            .map(Self)
    }

    /// Returns the HTTP client for requests that belong to no call.
    pub fn http_client(&self) -> &Client {
        &self.0
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send_request(
        &self,
        dispatch: &Dispatch,
        request: &UpstreamRequest,
    ) -> Result<Response, Failure> {
        let url = format!("http://{}{}", dispatch.address, request.path);
        let mut headers = request.headers.clone();
        insert_call_headers(&mut headers, dispatch, request.call);
        let sent = self
            .0
            .request(request.method.clone(), url)
            .headers(headers)
            .body(request.body.clone())
            .send();
        let first_token = Duration::from_millis(dispatch.first_token_ms);
        match timeout(first_token, sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(classify_error(&error)),
            Err(_) => Err(Failure::Silent {
                answer_tokens: 0,
                forwarded: false,
            }),
        }
    }
}

/// Adds the headers that name call, attempt and program.
fn insert_call_headers(headers: &mut HeaderMap, dispatch: &Dispatch, call: CallId) {
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    put("kwd-call", call.to_string());
    put("kwd-attempt", dispatch.attempt.to_string());
    if let Some((program, generation)) = &dispatch.program {
        put("kwd-program", program.to_string());
        put("kwd-generation", generation.to_string());
    }
    if !headers.contains_key("x-request-id") {
        let id = HeaderValue::from_str(&call.to_string());
        headers.extend(
            id.ok()
                .map(|id| (HeaderName::from_static("x-request-id"), id)),
        );
    }
}

/// Converts an error of the HTTP client.
///
/// Only a connection that was never made proves that nothing was sent.
fn classify_error(error: &reqwest::Error) -> Failure {
    if error.is_connect() || error.is_builder() {
        return Failure::NotSent;
    }
    Failure::ConnectionLost {
        answer_tokens: 0,
        forwarded: false,
    }
}
