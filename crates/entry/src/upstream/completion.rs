//! Assembly of a completion from its stream of events.

use std::collections::BTreeMap;

use knapweeddale_core::input::AttemptOutcome;
use knapweeddale_token::HistoryChain;
use serde_json::{Map, Value, json};

use super::events::parse_event_data;
use crate::front::canonical_message;

/// The data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// What an event contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// At least one token of the answer.
    Token,
    /// Anything else, such as token counts.
    Other,
    /// The `[DONE]` marker at the end of the stream.
    Done,
}

/// A completion assembled from its events.
#[derive(Debug, Default)]
pub(crate) struct Completion {
    /// Fields of the first chunk, such as `id` and `model`.
    base_fields: Map<String, Value>,
    choices: BTreeMap<u64, Choice>,
    usage: Option<Value>,
    tokens: u64,
}

/// A choice of a completion, assembled from its deltas.
#[derive(Debug, Default)]
struct Choice {
    content: String,
    tool_calls: BTreeMap<u64, ToolCall>,
    finish_reason: Value,
}

/// A tool call, assembled from its deltas.
#[derive(Debug, Default)]
struct ToolCall {
    id: String,
    name: String,
    arguments: String,
}

/// # Events
impl Completion {
    /// Adds an event and returns its kind.
    pub fn add_event(&mut self, event: &[u8]) -> EventKind {
        let Some(data) = parse_event_data(event) else {
            return EventKind::Other;
        };
        if data == DONE {
            return EventKind::Done;
        }
        let Ok(Value::Object(chunk)) = serde_json::from_slice(data) else {
            return EventKind::Other;
        };
        self.add_chunk(chunk)
    }

    /// Adds the JSON chunk of an event.
    fn add_chunk(&mut self, mut chunk: Map<String, Value>) -> EventKind {
        if let Some(usage) = chunk.remove("usage").filter(Value::is_object) {
            self.usage = Some(usage);
        }
        let choices = chunk.remove("choices").unwrap_or_default();
        if self.base_fields.is_empty() {
            self.base_fields = chunk;
        }
        let mut kind = EventKind::Other;
        for choice in choices.as_array().into_iter().flatten() {
            let index = choice["index"].as_u64().unwrap_or(0);
            if self.choices.entry(index).or_default().add_delta(choice) {
                kind = EventKind::Token;
                self.tokens += 1;
            }
        }
        kind
    }

    /// Returns the number of answer tokens so far, counting one per non-empty delta.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

impl Choice {
    /// Adds a delta; returns whether it contained any part of the answer.
    fn add_delta(&mut self, part: &Value) -> bool {
        if !part["finish_reason"].is_null() {
            self.finish_reason = part["finish_reason"].clone();
        }
        let delta = &part["delta"];
        let content = delta["content"].as_str().unwrap_or_default();
        self.content.push_str(content);
        let calls = delta["tool_calls"].as_array();
        for call in calls.into_iter().flatten() {
            let index = call["index"].as_u64().unwrap_or(0);
            let tool = self.tool_calls.entry(index).or_default();
            let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
            tool.id.push_str(&text(&call["id"]));
            tool.name.push_str(&text(&call["function"]["name"]));
            tool.arguments
                .push_str(&text(&call["function"]["arguments"]));
        }
        !content.is_empty() || calls.is_some_and(|calls| !calls.is_empty())
    }

    /// Builds the message in the form in which the caller repeats it in the next turn.
    fn build_message(&self) -> Value {
        let mut message = json!({"role": "assistant", "content": self.content});
        if !self.tool_calls.is_empty() {
            let calls = self.tool_calls.values().map(|tool| {
                let function = json!({"name": tool.name, "arguments": tool.arguments});
                json!({"id": tool.id, "type": "function", "function": function})
            });
            message["tool_calls"] = calls.collect();
        }
        message
    }
}

/// # Result
impl Completion {
    /// Returns the response body for a call that does not stream.
    pub fn to_json(&self) -> Value {
        let choices = self.choices.iter().map(|(index, choice)| {
            json!({
                "index": index,
                "message": choice.build_message(),
                "finish_reason": choice.finish_reason,
            })
        });
        let mut whole = Value::Object(self.base_fields.clone());
        whole["object"] = json!("chat.completion");
        whole["choices"] = choices.collect();
        whole["usage"] = self.usage.clone().unwrap_or_default();
        whole
    }

    /// Returns the token counts and the digest of the history including the answer.
    ///
    /// `prompt_tokens` is the estimate to use if the engine reports no usage.
    pub fn build_outcome(&self, mut history: HistoryChain, prompt_tokens: u64) -> AttemptOutcome {
        if let Some(choice) = self.choices.values().next() {
            history.extend(&canonical_message(&choice.build_message()));
        }
        let usage = self.usage.as_ref();
        let number = |pointer: &str| usage.and_then(|usage| usage.pointer(pointer)?.as_u64());
        AttemptOutcome {
            prompt_tokens: number("/prompt_tokens").unwrap_or(prompt_tokens),
            cached_tokens: number("/prompt_tokens_details/cached_tokens").unwrap_or(0),
            answer_tokens: number("/completion_tokens").unwrap_or(self.tokens),
            history: history.digest(),
        }
    }
}
