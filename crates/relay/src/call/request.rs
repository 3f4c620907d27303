//! Encodes the request for an upstream.

use bytes::{BufMut, Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, Method};

/// Initial capacity for the head of a request.
const HEAD_CAPACITY_BYTES: usize = 1_024;

/// Encodes an HTTP/1.1 request with its head and body.
///
/// The body always has a `content-length`, so that no part of it can be parsed as another
/// request (request smuggling).
pub(super) fn encode_request(parts: &Parts, headers: &HeaderMap, body: &Bytes) -> Bytes {
    let mut text = BytesMut::with_capacity(HEAD_CAPACITY_BYTES + body.len());
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
    text.put_slice(body);
    text.freeze()
}
