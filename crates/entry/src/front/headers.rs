//! Parsing of request headers.

use knapweeddale_core::input::{Continuation, Permit};
use knapweeddale_core::{PresentedKey, ProgramName, ProgramTurn, RefusalKind};
use knapweeddale_token::CallerKey;
use reqwest::header::{HeaderMap, HeaderValue};
use rocket::request::Request;

use super::refuse::FrontError;
use super::shared::SharedState;
use crate::upstream::filter_request_headers;
use knapweeddale_runtime::Clock;
use knapweeddale_runtime::random_u64;

/// Maximum total size of the headers. Continuation and permit take at most 1 KB.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Maximum length of a program name.
const MAX_PROGRAM_BYTES: usize = 200;

/// The parsed headers of a request.
#[derive(Debug)]
pub(crate) struct CallerHeaders {
    /// The key in `authorization`.
    pub key: Option<CallerKey>,
    /// The program, turn and continuation; `None` for a call outside a program.
    pub program: Option<ProgramTurn>,
    /// The permit for a turn that may not be repeated.
    pub permit: Option<Permit>,
    /// The headers that may be forwarded to upstreams.
    pub forwarded: HeaderMap,
}

impl CallerHeaders {
    /// Returns the key in the form that the core checks.
    pub fn presented_key(&self) -> Option<PresentedKey> {
        self.key.as_ref().map(CallerKey::presented)
    }

    /// Returns an error if a text that upstreams receive contains the caller's key.
    pub fn reject_exposed_key(&self, part: &str, text: &[u8]) -> Result<(), FrontError> {
        let Some(key) = &self.key else {
            return Ok(());
        };
        let text = String::from_utf8_lossy(text);
        if text.contains(key.expose()) {
            let detail = format!("the {part} holds the key; send it in `authorization` only");
            return Err(FrontError::malformed(detail));
        }
        Ok(())
    }
}

impl<C: Clock> SharedState<C> {
    /// Parses the headers of a request.
    pub fn read_headers(&self, request: &Request<'_>) -> Result<CallerHeaders, FrontError> {
        check_header_size(request)?;
        let key = read_key(request)?;
        let program = self.read_program(request, key.as_ref())?;
        let permit = match request.headers().get_one("kwd-permit") {
            None => None,
            Some(text) => Some(self.read_permit(text, program.as_ref())?),
        };
        Ok(CallerHeaders {
            forwarded: build_forwarded_headers(request, key.as_ref()),
            key,
            program,
            permit,
        })
    }

    /// Parses program, turn and continuation.
    fn read_program(
        &self,
        request: &Request<'_>,
        key: Option<&CallerKey>,
    ) -> Result<Option<ProgramTurn>, FrontError> {
        let headers = request.headers();
        let Some(name) = headers.get_one("kwd-program") else {
            return Ok(None);
        };
        let name = read_program_name(name, key)?;
        check_parent(&name, headers.get_one("kwd-parent"))?;
        let missing = || FrontError::malformed("kwd-turn is missing; send a number from 1");
        let turn = headers.get_one("kwd-turn").ok_or_else(missing)?;
        let turn = match turn.parse::<u32>() {
            Ok(turn) if turn > 0 => turn,
            _ => {
                let detail = format!("kwd-turn is {turn:?}; send a number from 1");
                return Err(FrontError::malformed(detail));
            }
        };
        let continuation = match headers.get_one("kwd-continuation") {
            None => None,
            Some(text) => Some(self.read_continuation(text, &name, key)?),
        };
        Ok(Some(ProgramTurn {
            name,
            turn,
            continuation,
        }))
    }

    /// Verifies a continuation and checks that it belongs to the program.
    pub fn read_continuation(
        &self,
        text: &str,
        name: &ProgramName,
        key: Option<&CallerKey>,
    ) -> Result<Continuation, FrontError> {
        let continuation: Continuation = self.signer.verify(text).map_err(FrontError::malformed)?;
        let status = self.status.borrow();
        let account = key.and_then(|key| status.account_for_key(key.id()));
        let is_account = account.is_none_or(|account| *account == continuation.program.account);
        if continuation.program.name != *name || !is_account {
            let detail = "kwd-continuation belongs to another program";
            return Err(FrontError::new(RefusalKind::HistoryMismatch, detail));
        }
        Ok(continuation)
    }

    /// Verifies a permit and checks that it belongs to the program.
    fn read_permit(&self, text: &str, program: Option<&ProgramTurn>) -> Result<Permit, FrontError> {
        let permit: Permit = self.signer.verify(text).map_err(FrontError::malformed)?;
        let is_own = |turn: &ProgramTurn| turn.name == permit.program.name;
        if !program.is_some_and(is_own) {
            let detail = "kwd-permit belongs to another program";
            return Err(FrontError::new(RefusalKind::PermitVoid, detail));
        }
        Ok(permit)
    }
}

/// Returns an error if the total size of the headers exceeds the limit.
pub(crate) fn check_header_size(request: &Request<'_>) -> Result<(), FrontError> {
    let headers = request.headers().iter();
    let bytes: usize = headers
        .map(|h| h.name().as_str().len() + h.value().len())
        .sum();
    if bytes > MAX_HEADER_BYTES {
        let detail = format!("the headers have {bytes} bytes; send at most {MAX_HEADER_BYTES}");
        return Err(FrontError::new(RefusalKind::TooLarge, detail));
    }
    Ok(())
}

/// Parses the key in `authorization`.
pub(crate) fn read_key(request: &Request<'_>) -> Result<Option<CallerKey>, FrontError> {
    let Some(header) = request.headers().get_one("authorization") else {
        return Ok(None);
    };
    let unknown = |detail: String| FrontError::new(RefusalKind::KeyUnknown, detail);
    let key = header
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim())
        .ok_or_else(|| unknown("authorization is not `Bearer <key>`".to_owned()))?;
    key.parse()
        .map(Some)
        .map_err(|error| unknown(format!("{error}")))
}

/// Parses and validates the name of a program.
pub(crate) fn read_program_name(
    name: &str,
    key: Option<&CallerKey>,
) -> Result<ProgramName, FrontError> {
    if key.is_some_and(|key| name.contains(key.expose())) {
        let detail = "the name of the program holds the key; names of programs are logged";
        return Err(FrontError::malformed(detail));
    }
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'/');
    let has_empty_part = name.split('/').any(str::is_empty);
    if name.len() > MAX_PROGRAM_BYTES || has_empty_part || !name.bytes().all(is_allowed) {
        let detail = "the name of the program is malformed; \
            use at most 200 letters, digits, `-`, `_`, `.`, and `/` before a sub-agent";
        return Err(FrontError::malformed(detail));
    }
    Ok(ProgramName::from(name))
}

/// Checks that the name of a sub-agent extends that of its parent.
fn check_parent(name: &ProgramName, parent: Option<&str>) -> Result<(), FrontError> {
    let Some(parent) = parent else {
        return Ok(());
    };
    let rest = name.as_str().strip_prefix(parent);
    if rest.is_some_and(|rest| rest.starts_with('/')) {
        return Ok(());
    }
    let detail = format!("kwd-program does not extend kwd-parent; send \"{parent}/<name>\"");
    Err(FrontError::malformed(detail))
}

/// Builds the headers to forward to upstreams; adds a trace context if there is none.
fn build_forwarded_headers(request: &Request<'_>, key: Option<&CallerKey>) -> HeaderMap {
    let headers: Vec<(String, String)> = request
        .headers()
        .iter()
        .map(|header| (header.name().to_string(), header.value().to_owned()))
        .collect();
    let texts = headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let mut forwarded = filter_request_headers(texts, key.map(CallerKey::expose));
    if !forwarded.contains_key("traceparent") {
        let (trace, span) = ((random_u64(), random_u64()), random_u64() | 1);
        let context = format!("00-{:016x}{:016x}-{span:016x}-01", trace.0 | 1, trace.1);
        if let Ok(context) = HeaderValue::from_str(&context) {
            forwarded.insert("traceparent", context);
        }
    }
    forwarded
}
