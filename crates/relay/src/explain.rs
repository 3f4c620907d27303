//! Collects the log lines of one request from the logs of several VMs.

use std::collections::BTreeSet;
use std::io;
use std::path::Path;

use derive_more::{Display, Error};
use serde::Deserialize;

/// Error when a log file cannot be read.
#[derive(Debug, Display, Error)]
#[display("the log {file} cannot be read ({source}); give the path of a file with JSON lines")]
pub struct ExplainError {
    /// Path of the log file.
    pub file: String,
    /// The underlying I/O error.
    pub source: io::Error,
}

/// A JSON log line with the fields that link it to a request.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    timestamp: Option<String>,
    message: Option<String>,
    request: Option<String>,
    call: Option<String>,
    attempt: Option<String>,
    /// The JSON text of the line.
    #[serde(skip)]
    text: String,
}

/// The log lines of one request and a summary of its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The lines, sorted by timestamp.
    pub lines: Vec<String>,
    /// The outcome of the request, in one sentence.
    pub summary: String,
}

/// Reads log files and collects the lines of a request.
///
/// # Errors
///
/// Fails if a file cannot be read.
pub fn explain(request: &str, files: &[impl AsRef<Path>]) -> Result<Explanation, ExplainError> {
    let mut logs = Vec::new();
    for file in files {
        let text = std::fs::read(file.as_ref()).map_err(|source| ExplainError {
            file: file.as_ref().display().to_string(),
            source,
        })?;
        logs.push(String::from_utf8_lossy(&text).into_owned());
    }
    Ok(explain_logs(request, logs.iter().map(String::as_str)))
}

/// Collects the lines of a request from the texts of logs.
///
/// Lines that name only a call or an attempt of the request are included.
pub fn explain_logs<'a>(request: &str, logs: impl IntoIterator<Item = &'a str>) -> Explanation {
    let all_lines: Vec<Line> = logs
        .into_iter()
        .flat_map(|log| log.lines().filter_map(parse_line))
        .collect();
    let named = all_lines
        .iter()
        .filter(|line| line.request.as_deref() == Some(request));
    let calls: BTreeSet<&str> = named.filter_map(|line| line.call.as_deref()).collect();
    let is_related = |line: &&Line| {
        let attempt = line.attempt.as_deref();
        let attempt_parts = attempt.and_then(|attempt| attempt.rsplit_once('.'));
        line.request.as_deref() == Some(request)
            || line
                .call
                .as_deref()
                .is_some_and(|call| calls.contains(call))
            || attempt_parts.is_some_and(|(call, _)| calls.contains(call))
    };
    let mut lines: Vec<&Line> = all_lines.iter().filter(is_related).collect();
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let messages: Vec<&str> = lines
        .iter()
        .filter_map(|line| line.message.as_deref())
        .collect();
    Explanation {
        summary: summarize(request, &messages),
        lines: lines.iter().map(|line| line.text.clone()).collect(),
    }
}

/// Parses the JSON object of a line, skipping text before it such as a time or the VM's name.
fn parse_line(text: &str) -> Option<Line> {
    let json = &text[text.find('{')?..];
    let mut line: Line = serde_json::from_str(json).ok()?;
    line.text = json.to_owned();
    Some(line)
}

/// Describes the outcome of a request in one sentence.
fn summarize(request: &str, messages: &[&str]) -> String {
    let last = |part: &str| messages.iter().rfind(|message| message.contains(part));
    let count = |part: &str| {
        messages
            .iter()
            .filter(|message| message.contains(part))
            .count()
    };
    if messages.is_empty() {
        return format!("No log names request {request}: it reached none of these VMs.");
    }
    let attempts = count("placement: attempt");
    let outcome = if last("call: answered").is_some() {
        "was answered by its upstream".to_owned()
    } else if let Some(refused) = last("admission: refused") {
        let (_, reason) = refused.split_once(" as ").unwrap_or(("", refused));
        format!("was refused as {reason}")
    } else {
        "has no recorded outcome: its caller disconnected or the VM stopped".to_owned()
    };
    let causes = ["rates: no room", "budgets: ", "retry: call"];
    let cause = causes.iter().find_map(|cause| last(cause));
    let cause = cause.map(|cause| format!(" Last cause: {cause}."));
    format!(
        "Request {request} {outcome} after {attempts} attempts.{}",
        cause.unwrap_or_default()
    )
}
