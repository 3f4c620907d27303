//! Conversion of responses to those of the HTTP server.

use std::io::Cursor;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use rocket::http::{Header, Status};
use rocket::request::Request;
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder, Response};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::call::{EVENT_STREAM, InFlightGuard, Reply, ReplyPart};

/// Time without events after which a comment is sent. The server notices only on a write that a
/// caller has disconnected.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A comment, which clients ignore.
const HEARTBEAT_EVENT: &[u8] = b": waiting\n\n";

/// A response to a caller.
pub(crate) enum CallerResponse {
    /// A whole response.
    Whole(Reply),
    /// A stream of events; the guard keeps the call in flight until its end.
    Events {
        call: String,
        parts: mpsc::Receiver<ReplyPart>,
        guard: InFlightGuard,
    },
}

impl<'r> Responder<'r, 'r> for CallerResponse {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Whole(reply) => Ok(build_whole_response(reply)),
            Self::Events { call, parts, guard } => {
                let chunks = stream::unfold((parts, guard), next_chunk);
                let response = ByteStream(chunks).respond_to(request)?;
                Response::build_from(response)
                    .header(Header::new("content-type", EVENT_STREAM))
                    .header(Header::new("cache-control", "no-store"))
                    .header(Header::new("kwd-call", call))
                    .ok()
            }
        }
    }
}

/// Builds a whole response of the HTTP server.
fn build_whole_response<'r>(reply: Reply) -> Response<'r> {
    let mut response = Response::build();
    response.status(Status::new(reply.status));
    for (name, value) in reply.headers {
        response.header_adjoin(Header::new(name, value));
    }
    response.sized_body(reply.body.len(), Cursor::new(reply.body));
    response.finalize()
}

/// Returns the next chunk of a stream, or a comment if none arrives in time.
async fn next_chunk(
    (mut parts, guard): (mpsc::Receiver<ReplyPart>, InFlightGuard),
) -> Option<(Bytes, (mpsc::Receiver<ReplyPart>, InFlightGuard))> {
    loop {
        let part = match timeout(HEARTBEAT_INTERVAL, parts.recv()).await {
            Ok(part) => part?,
            Err(_) => ReplyPart::Chunk(Bytes::from_static(HEARTBEAT_EVENT)),
        };
        match part {
            ReplyPart::Chunk(chunk) => return Some((chunk, (parts, guard))),
            ReplyPart::Whole(reply) => return Some((reply.body, (parts, guard))),
            ReplyPart::Start => {}
        }
    }
}
