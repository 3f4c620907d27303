//! Collects the log lines of one request from the logs of several VMs.

use std::collections::BTreeSet;
use std::io;
use std::path::Path;

use derive_more::{Display, Error};
use serde::Deserialize;

/// Beginnings of the lines that tell why a call was refused, the most specific first.
const CAUSES: [&str; 6] = [
    "history: not read",
    "history: turn not",
    "rates: no room",
    "budgets: ",
    "retry: call",
    "call: stream broken off",
];

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

impl Line {
    /// Returns the call that the line is about, directly or through one of its attempts.
    fn call(&self) -> Option<&str> {
        let attempt = self.attempt.as_deref();
        let attempted = attempt.and_then(|attempt| attempt.rsplit_once('.'));
        self.call.as_deref().or(attempted.map(|(call, _)| call))
    }
}

/// The log lines of one request and a summary of its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The lines, sorted by timestamp.
    pub lines: Vec<String>,
    /// The outcome of the request, in one sentence, and one for each try if there are several.
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
        line.request.as_deref() == Some(request)
            || line.call().is_some_and(|call| calls.contains(call))
    };
    let mut lines: Vec<&Line> = all_lines.iter().filter(is_related).collect();
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    Explanation {
        summary: summarize(request, &lines),
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

/// Describes the outcome of a request; each try of its caller is a call of its own.
fn summarize(request: &str, lines: &[&Line]) -> String {
    let messages = messages_of(lines.iter().copied());
    if messages.is_empty() {
        return format!("No log names request {request}: it reached none of these VMs.");
    }
    let attempts = messages
        .iter()
        .filter(|message| message.contains("placement: attempt"))
        .count();
    let outcome = outcome_of(&messages);
    let mut summary = format!("Request {request} {outcome} after {attempts} attempts.");
    let mut calls: Vec<&str> = Vec::new();
    for call in lines.iter().filter_map(|line| line.call()) {
        if !calls.contains(&call) {
            calls.push(call);
        }
    }
    if calls.len() < 2 {
        if let Some(cause) = cause_of(&messages) {
            summary += &format!(" Last cause: {cause}.");
        }
        return summary;
    }
    for (number, call) in calls.iter().enumerate() {
        let of_call = lines.iter().copied();
        let messages = messages_of(of_call.filter(|line| line.call() == Some(call)));
        let outcome = outcome_of(&messages);
        let cause = cause_of(&messages).filter(|_| !is_answered(&messages));
        let cause = cause.map(|cause| format!(": {cause}")).unwrap_or_default();
        summary += &format!("\nTry {} (call {call}) {outcome}{cause}.", number + 1);
    }
    summary
}

/// Returns the messages of lines.
fn messages_of<'a>(lines: impl Iterator<Item = &'a Line>) -> Vec<&'a str> {
    lines.filter_map(|line| line.message.as_deref()).collect()
}

/// Returns whether a request or one of its calls was answered.
fn is_answered(messages: &[&str]) -> bool {
    let mut messages = messages.iter();
    messages.any(|message| message.contains("call: answered"))
}

/// Returns how a request or one of its calls ended, as the end of a sentence.
fn outcome_of(messages: &[&str]) -> String {
    if is_answered(messages) {
        return "was answered by its upstream".to_owned();
    }
    let mut refusals = messages.iter().rev();
    let Some(refused) = refusals.find(|message| message.contains("admission: refused")) else {
        return "has no recorded outcome: its caller disconnected or the VM stopped".to_owned();
    };
    let (_, reason) = refused.split_once(" as ").unwrap_or(("", refused));
    format!("was refused as {reason}")
}

/// Returns the line that tells best why a call was refused.
fn cause_of<'a>(messages: &[&'a str]) -> Option<&'a str> {
    let last = |part: &&str| messages.iter().rfind(|message| message.contains(*part));
    CAUSES.iter().find_map(last).copied()
}
