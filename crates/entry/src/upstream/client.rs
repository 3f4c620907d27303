//! HTTP client for requests to upstreams.

use std::time::Duration;

use bytes::Bytes;
use knapweeddale_core::input::Failure;
use knapweeddale_core::{CallId, Dispatch};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, Response, redirect, retry};
use tokio::time::timeout;

/// Timeout for connecting. Upstreams are about 1 ms away; a longer wait would only delay the
/// choice of another upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to an upstream; the same for each attempt of a call.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamRequest {
    /// The call that the request belongs to.
    pub call: CallId,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// The headers to forward, without those that name the call and attempt.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Timeouts of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamTimeouts {
    /// Timeout for the first byte or token.
    pub first_token: Duration,
    /// Timeout between two parts of the response.
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

/// HTTP client for upstreams, which uses a new connection for each request.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamClient(Client);

impl UpstreamClient {
    /// Creates a client that sends each request only once.
    ///
    /// Retries and redirects could repeat a request that must run only once, and a proxy could
    /// read the requests. Responses do not name their request, so on a reused connection a late
    /// copy of an earlier response would count as the response to the next request.
    pub fn new() -> reqwest::Result<Self> {
        Client::builder()
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .referer(false)
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .build()
            .map(Self)
    }

    /// Returns the HTTP client, for requests that belong to no call.
    pub fn http_client(&self) -> &Client {
        &self.0
    }

    /// Sends the request of an attempt and waits for the response head.
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

/// Inserts the headers that name the call, the attempt and the program.
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

/// Converts an error of the HTTP client to a failure of the attempt.
///
/// Only a connection that was never established proves that nothing was sent.
fn classify_error(error: &reqwest::Error) -> Failure {
    if error.is_builder() {
        return Failure::NotSent;
    }
    if error.is_connect() {
        return match is_refused(error) {
            true => Failure::ConnectionRefused,
            false => Failure::Unreachable,
        };
    }
    Failure::ConnectionLost {
        answer_tokens: 0,
        forwarded: false,
    }
}

/// Returns whether a connection failed because no process listens at the address.
pub(super) fn is_refused(error: &reqwest::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(error) = source {
        let kind = error
            .downcast_ref::<std::io::Error>()
            .map(std::io::Error::kind);
        if kind == Some(std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = error.source();
    }
    false
}
