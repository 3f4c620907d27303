//! The responses to completion requests.

use serde_json::{Value, json};

/// A completion request in progress.
pub(super) struct Completion {
    pub model: String,
    pub stream: bool,
    pub tag: String,
    pub tokens: u64,
    pub prompt_tokens: usize,
    pub cached_tokens: usize,
}

impl Completion {
    fn text(&self, token: u64) -> String {
        format!("{}-{token} ", self.tag)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }

    pub fn build_chunk(&self, token: u64) -> String {
        let delta = json!({"role": "assistant", "content": self.text(token)});
        json!({
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": null}],
        })
        .to_string()
    }

    pub fn build_last_chunk(&self) -> String {
        json!({
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": self.usage(),
        })
        .to_string()
    }

    pub fn build_response(&self) -> String {
        let content: String = (0..self.tokens).map(|token| self.text(token)).collect();
        let message = json!({"role": "assistant", "content": content});
        json!({
            "object": "chat.completion",
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self.usage(),
        })
        .to_string()
    }
}

/// Splits the content of all messages into words; each word counts as one token.
pub(super) fn split_words(body: &Value) -> Vec<String> {
    let messages = body["messages"].as_array().into_iter().flatten();
    messages
        .filter_map(|message| message["content"].as_str())
        .flat_map(|text| text.split_whitespace().map(str::to_owned))
        .collect()
}
