//! Which headers cross between callers and upstreams.

use reqwest::header::{HeaderMap, HeaderName, HeaderValue};

/// Headers that concern one connection only.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that the client sets itself. Compressed responses could not be
/// read or kept, so none is asked for.
const CLIENT_HEADERS: &[&str] = &["host", "content-length", "accept-encoding", "expect"];

/// Parts of names that mark a header as a credential.
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

/// Prefix of headers between callers and knapweeddale.
const INTERNAL_PREFIX: &str = "kwd-";

/// Returns whether a header may be passed on, apart from its value.
fn is_forwardable(name: &str, connection: &[String]) -> bool {
    let is_named = |list: &[&str]| list.contains(&name);
    !is_named(HOP_BY_HOP)
        && !is_named(CLIENT_HEADERS)
        && !connection.iter().any(|listed| listed == name)
        && !name.starts_with(INTERNAL_PREFIX)
}

/// Returns the headers that the `connection` header makes hop-by-hop.
fn parse_connection_header<'a>(headers: impl Iterator<Item = (&'a str, &'a str)>) -> Vec<String> {
    headers
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(','))
        .map(|listed| listed.trim().to_ascii_lowercase())
        .collect()
}

/// Returns the headers of a caller that an upstream may see.
///
/// A header is dropped if its name marks a credential or its value holds the
/// caller's key.
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

/// Returns the headers of an upstream's response that the caller may see.
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
