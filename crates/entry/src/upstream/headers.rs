//! Filters for headers between callers and upstreams.

use reqwest::header::{HeaderMap, HeaderName, HeaderValue};

/// Headers that apply to a single connection.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that the HTTP client sets itself. `accept-encoding` is not forwarded because compressed
/// responses could be neither parsed nor cached.
const CLIENT_HEADERS: &[&str] = &["host", "content-length", "accept-encoding", "expect"];

/// Substrings of header names that mark credentials.
const CREDENTIAL_PARTS: &[&str] = &[
    "authorization",
    "authenticate",
    "cookie",
    "token",
    "secret",
    "password",
    "credential",
    "api-key",
    "apikey",
    "api_key",
    "session",
    "signature",
];

/// Prefix of headers that are exchanged only between callers and knapweeddale.
const INTERNAL_PREFIX: &str = "kwd-";

/// Returns whether a header of this name may be forwarded.
fn is_forwardable(name: &str, connection: &[String]) -> bool {
    let is_named = |list: &[&str]| list.contains(&name);
    !is_named(HOP_BY_HOP)
        && !is_named(CLIENT_HEADERS)
        && !connection.iter().any(|listed| listed == name)
        && !name.starts_with(INTERNAL_PREFIX)
}

/// Returns the names in the `connection` header, which are hop-by-hop as well.
fn parse_connection_header<'a>(headers: impl Iterator<Item = (&'a str, &'a str)>) -> Vec<String> {
    headers
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(','))
        .map(|listed| listed.trim().to_ascii_lowercase())
        .collect()
}

/// Returns the headers of a caller that may be forwarded to an upstream.
///
/// Drops headers whose name marks a credential or whose value contains the caller's key.
pub(crate) fn filter_request_headers<'a>(
    headers: impl Iterator<Item = (&'a str, &'a str)> + Clone,
    key: Option<&str>,
) -> HeaderMap {
    let connection = parse_connection_header(headers.clone());
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let name = name.to_ascii_lowercase();
        let is_credential = CREDENTIAL_PARTS.iter().any(|part| name.contains(part));
        let holds_key = key.is_some_and(|key| value.contains(key));
        if is_credential || holds_key || !is_forwardable(&name, &connection) {
            continue;
        }
        if let (Ok(name), Ok(value)) = (
            HeaderName::try_from(name.as_str()),
            HeaderValue::from_str(value),
        ) {
            forwarded.append(name, value);
        }
    }
    forwarded
}

/// Returns the headers of an upstream's response that may be sent to the caller.
pub(crate) fn filter_response_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let texts = || {
        headers
            .iter()
            .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
    };
    let connection = parse_connection_header(texts());
    texts()
        .filter(|(name, _)| is_forwardable(name, &connection))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
