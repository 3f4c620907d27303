//! Encodes the request for an upstream.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, Method};

use crate::upstream::OutgoingRequest;

/// Initial capacity for the head of a request.
const HEAD_CAPACITY_BYTES: usize = 1_024;

/// Longest body that is copied behind the head, so that both are sent in one write. Longer ones
/// are not copied, since that would double the memory of the request.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1_024;

/// Encodes an HTTP/1.1 request with its head and body.
///
/// The body always has a `content-length`, so that no part of it can be parsed as another
/// request (request smuggling).
pub(super) fn encode_request(parts: &Parts, headers: &HeaderMap, body: &Bytes) -> OutgoingRequest {
    let is_copied = body.len() <= MAX_COPIED_BODY_BYTES;
    let copied_bytes = if is_copied { body.len() } else { 0 };
    let mut text = BytesMut::with_capacity(HEAD_CAPACITY_BYTES + copied_bytes);
    text.put_slice(parts.method.as_str().as_bytes());
    text.put_u8(b' ');
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    text.put_slice(path.as_bytes());
    text.put_slice(b" HTTP/1.1\r\n");
    for (name, value) in headers {
        text.put_slice(name.as_str().as_bytes());
        text.put_slice(b": ");
        text.put_slice(value.as_bytes());
        text.put_slice(b"\r\n");
    }
    let has_body = !body.is_empty() || !matches!(parts.method, Method::GET | Method::HEAD);
    if has_body {
        text.put_slice(b"content-length: ");
        text.put_slice(body.len().to_string().as_bytes());
        text.put_slice(b"\r\n");
    }
    text.put_slice(b"\r\n");
    if is_copied {
        text.put_slice(body);
        return text.freeze().chain(Bytes::new());
    }
    text.freeze().chain(body.clone())
}
