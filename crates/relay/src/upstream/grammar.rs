//! The grammar of HTTP/1.1 responses, as RFC 9110 and RFC 9112 define it.
//!
//! A response that breaks it may end elsewhere than its sender meant, so nothing is repaired: no
//! bare line feeds, folded lines, signs in numbers or white space before a colon. Each rule looks at
//! one whole line, so that it does not matter in which parts the bytes arrive.

use http::{HeaderMap, HeaderValue, StatusCode, header};

/// The end of a line.
pub(super) const LINE_END: &[u8] = b"\r\n";

/// What each status line begins with; a digit follows.
const VERSION: &[u8] = b"HTTP/1.";

/// Highest status code that is defined.
const MAX_STATUS: u16 = 599;

/// Most digits of the size of a chunk; more do not fit into 64 bits.
const MAX_SIZE_DIGITS: usize = 16;

/// Why bytes are no valid response.
type Reason = &'static str;

/// Returns the length of the head at the start of a buffer, its empty line included, or `None` if
/// it is not complete.
///
/// # Errors
///
/// Fails at the first line that is complete and not valid.
pub(super) fn check_head(buffer: &[u8]) -> Result<Option<usize>, Reason> {
    let mut start = 0;
    while let Some(length) = buffer[start..].iter().position(|byte| *byte == b'\n') {
        let line = &buffer[start..start + length];
        let line = line.strip_suffix(b"\r");
        let line = line.ok_or("a line of the head does not end with CR and LF")?;
        let end = start + length + 1;
        if start == 0 {
            check_status_line(line)?;
        } else if line.is_empty() {
            return Ok(Some(end));
        } else {
            check_field(line)?;
        }
        start = end;
    }
    Ok(None)
}

/// Checks a status line: version, three digits, a space and text.
fn check_status_line(line: &[u8]) -> Result<(), Reason> {
    let rest = line
        .strip_prefix(VERSION)
        .ok_or("the status line has no version")?;
    let [b'0' | b'1', b' ', code @ ..] = rest else {
        return Err("the version is not 1.0 or 1.1");
    };
    let Some((code, reason)) = code.split_at_checked(3) else {
        return Err("the status code has no three digits");
    };
    if !code.iter().all(u8::is_ascii_digit) {
        return Err("the status code has no three digits");
    }
    match reason {
        [b' ', text @ ..] if text.iter().all(|byte| is_text(*byte)) => Ok(()),
        _ => Err("the status line is not valid after its code"),
    }
}

/// Checks a field of a head or a trailer: a token, a colon at once, and text.
fn check_field(line: &[u8]) -> Result<(), Reason> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(colon.ok_or("a line is no field")?);
    if name.is_empty() || !name.iter().all(|byte| is_token(*byte)) {
        return Err("a field has no valid name");
    }
    if !value[1..].iter().all(|byte| is_text(*byte)) {
        return Err("a field has no valid value");
    }
    Ok(())
}

/// Checks a line behind the last chunk; returns whether it is the empty one that ends the body.
pub(super) fn check_trailer(line: &[u8]) -> Result<bool, Reason> {
    match line.is_empty() {
        true => Ok(true),
        false => check_field(line).map(|()| false),
    }
}

/// Checks the line behind the bytes of a chunk.
pub(super) fn check_empty(line: &[u8]) -> Result<(), Reason> {
    match line.is_empty() {
        true => Ok(()),
        false => Err("a chunk is longer than its stated size"),
    }
}

/// Checks a status code; 101 is the answer to an upgrade, which is never asked for.
pub(super) fn check_status(status: StatusCode) -> Result<(), Reason> {
    if status.as_u16() > MAX_STATUS || status == StatusCode::SWITCHING_PROTOCOLS {
        return Err("the status code is not valid");
    }
    Ok(())
}

/// Parses a line with the size of a chunk: hexadecimal digits, then extensions.
pub(super) fn parse_chunk_size(line: &[u8]) -> Result<u64, Reason> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let (digits, extensions) = line.split_at(digits.count());
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS {
        return Err("a chunk has no valid size");
    }
    check_extensions(extensions)?;
    let text = std::str::from_utf8(digits).map_err(|_| "a chunk has no valid size")?;
    u64::from_str_radix(text, 16).map_err(|_| "a chunk has no valid size")
}

/// Checks the extensions of a chunk: each a semicolon and a token, which may have a value.
fn check_extensions(mut rest: &[u8]) -> Result<(), Reason> {
    const INVALID: Reason = "a chunk has no valid extension";
    while !rest.is_empty() {
        rest = trim_blanks(rest).strip_prefix(b";").ok_or(INVALID)?;
        rest = take_token(trim_blanks(rest)).ok_or(INVALID)?;
        if let Some(value) = trim_blanks(rest).strip_prefix(b"=") {
            let value = trim_blanks(value);
            rest = match value.strip_prefix(b"\"") {
                Some(quoted) => take_quoted(quoted),
                None => take_token(value),
            }
            .ok_or(INVALID)?;
        }
    }
    Ok(())
}

/// Returns what follows a token; `None` if there is none.
fn take_token(bytes: &[u8]) -> Option<&[u8]> {
    let length = bytes.iter().take_while(|byte| is_token(**byte)).count();
    (length > 0).then(|| &bytes[length..])
}

/// Returns what follows a quoted text after its first quote; `None` if it has no end.
fn take_quoted(bytes: &[u8]) -> Option<&[u8]> {
    let mut at = 0;
    loop {
        match bytes.get(at)? {
            b'"' => return Some(&bytes[at + 1..]),
            b'\\' if is_text(*bytes.get(at + 1)?) => at += 2,
            byte if is_text(*byte) => at += 1,
            _ => return None,
        }
    }
}

fn trim_blanks(bytes: &[u8]) -> &[u8] {
    let blanks = bytes.iter().take_while(|byte| matches!(byte, b' ' | b'\t'));
    &bytes[blanks.count()..]
}

/// How the head of a response delimits its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// In chunks.
    Chunked,
    /// By its length in bytes.
    Length(u64),
    /// By the end of the connection.
    UntilClose,
}

/// Returns how a response delimits its body; `is_http_1_1` is its version.
///
/// # Errors
///
/// Fails if the fields contradict each other or one of them is not valid.
pub(super) fn framing(headers: &HeaderMap, is_http_1_1: bool) -> Result<Framing, Reason> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let length = content_length(headers)?;
    let Some(coding) = codings.next() else {
        return Ok(length.map_or(Framing::UntilClose, Framing::Length));
    };
    if length.is_some() {
        return Err("there is both a transfer-encoding and a content-length");
    }
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || codings.next().is_some() || !is_http_1_1 {
        return Err("the transfer-encoding is not \"chunked\"");
    }
    Ok(Framing::Chunked)
}

/// Checks that a response that has no body by its status states none.
pub(super) fn check_no_body(headers: &HeaderMap) -> Result<(), Reason> {
    let has_length = content_length(headers)?.is_some_and(|bytes| bytes > 0);
    if has_length || headers.contains_key(header::TRANSFER_ENCODING) {
        return Err("the status allows no body, but the head states one");
    }
    Ok(())
}

/// Returns the `content-length` of a response; several are accepted if they are equal.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Reason> {
    let mut length = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let bytes = parse_length(value).ok_or("the content-length is not a number")?;
        if length.is_some_and(|known| known != bytes) {
            return Err("there are two different content-lengths");
        }
        length = Some(bytes);
    }
    Ok(length)
}

/// Parses a length, which has digits only.
fn parse_length(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let has_digits_only = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| has_digits_only)
}

/// Returns whether a byte may stand in a name.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a byte may stand in a value: no control byte but the tab.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || byte >= b' ' && byte != 0x7f
}
