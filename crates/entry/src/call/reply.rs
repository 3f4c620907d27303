//! Responses to callers.

use bytes::Bytes;
use knapweeddale_core::{CallId, Execution, Refusal};
use serde_json::{Map, Value, json};

use super::describe::describe_refusal;

/// The content type of server-sent events.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// The signed values that the caller sends with the next turn.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct SignedTokens {
    /// The signed state of the program; `None` for a call outside a program.
    pub continuation: Option<String>,
    /// The signed permit for a next turn that may not be repeated; `None` if none was issued.
    pub permit: Option<String>,
}

impl SignedTokens {
    /// Returns the tokens that are present, with their header names.
    fn entries(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let named = [
            ("kwd-continuation", &self.continuation),
            ("kwd-permit", &self.permit),
        ];
        named
            .into_iter()
            .filter_map(|(name, value)| Some((name, value.as_deref()?)))
    }
}

/// A part of a response, sent from the task of a call to the front end.
#[derive(Debug)]
pub(crate) enum ReplyPart {
    /// A whole response.
    Whole(Reply),
    /// The start of a stream of events; chunks follow.
    Start,
    /// Bytes of a stream.
    Chunk(Bytes),
}

/// A whole response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// Names and values of the headers; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, whole.
    pub body: Bytes,
}

impl Reply {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: &Value) -> Self {
        Self {
            status,
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: Bytes::from(body.to_string()),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Adds the headers of a call that ran.
    #[must_use]
    pub fn with_run_headers(self, call: CallId, tokens: &SignedTokens) -> Self {
        let reply = self
            .with_header("kwd-call", call)
            .with_header("kwd-ran", Execution::Ran);
        tokens
            .entries()
            .fold(reply, |reply, (name, value)| reply.with_header(name, value))
    }

    /// Creates the response to a refused call; `detail` replaces the general message.
    pub fn refused(refusal: &Refusal, detail: Option<&str>) -> Self {
        let reply = Self::json(refusal.kind.status(), &build_error_body(refusal, detail))
            .with_header("kwd-call", refusal.call)
            .with_header("kwd-ran", refusal.ran);
        match refusal.retry_after_ms {
            Some(ms) => reply.with_header("retry-after", ms.div_ceil(1_000)),
            None => reply,
        }
    }

    /// Returns the value of the header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(key, _)| key == name);
        header.map(|(_, value)| value.as_str())
    }
}

/// Builds the JSON body of a refusal; `detail` replaces the general message.
pub(crate) fn build_error_body(refusal: &Refusal, detail: Option<&str>) -> Value {
    let message = match (detail, refusal.ran) {
        (Some(detail), _) => detail.to_owned(),
        (None, Execution::MayHaveRun) => {
            format!(
                "{}; the request may have run",
                describe_refusal(refusal.kind)
            )
        }
        (None, _) => describe_refusal(refusal.kind).to_owned(),
    };
    json!({"error": {
        "kind": refusal.kind.to_string(),
        "ran": refusal.ran.to_string(),
        "message": message,
        "remedy": refusal.kind.remedy(),
        "retry_after_ms": refusal.retry_after_ms,
    }})
}

/// Encodes the last event of a stream and the usual `[DONE]` marker.
///
/// The event is a chunk without choices, which clients of model APIs ignore.
pub(crate) fn encode_last_event(call: CallId, tokens: &SignedTokens) -> Bytes {
    let mut event = Map::new();
    event.insert("object".to_owned(), json!("chat.completion.chunk"));
    event.insert("choices".to_owned(), json!([]));
    event.insert("kwd-call".to_owned(), json!(call.to_string()));
    event.insert("kwd-ran".to_owned(), json!(Execution::Ran.to_string()));
    for (name, value) in tokens.entries() {
        event.insert(name.to_owned(), json!(value));
    }
    let event = Value::Object(event);
    Bytes::from(format!("data: {event}\n\ndata: [DONE]\n\n"))
}
