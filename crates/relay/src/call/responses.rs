//! Conversion of an upstream's response to the one for the caller.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header, response};

use super::reply::RelayBody;
use crate::adapter::ResponseInfo;
use crate::upstream::ResponseHead;

/// Returns whether a status tells the caller that the request did not run.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Returns whether a successful response is the upstream's own: signed, and without a
/// `content-encoding`.
pub(super) fn is_authentic(head: &ResponseHead, info: &ResponseInfo) -> bool {
    info.is_signed && !head.headers.contains_key(header::CONTENT_ENCODING)
}

/// Converts an upstream's response to the response for the caller.
pub(super) fn to_caller_response(head: &ResponseHead, body: Bytes) -> Response<RelayBody> {
    Response::from_parts(to_caller_head(head), RelayBody::whole(body))
}

/// Converts the head of an upstream's response to the head for the caller.
///
/// Hop-by-hop headers and those of the body's framing are left out.
pub(super) fn to_caller_head(head: &ResponseHead) -> response::Parts {
    let (mut parts, ()) = Response::new(()).into_parts();
    parts.status = head.status;
    parts.headers = end_to_end_headers(&head.headers);
    parts
}

/// Returns the headers without the hop-by-hop ones and those of the framing.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = headers.clone();
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::TRAILER,
        header::UPGRADE,
        header::TE,
    ] {
        end_to_end.remove(name);
    }
    end_to_end.remove("keep-alive");
    end_to_end
}
