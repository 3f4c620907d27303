//! JSON encoding of messages between VMs.

use derive_more::{Display, Error};
use knapweeddale_core::{Incarnation, PeerMessage, VmName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Decoded messages of one request, in the order in which they were sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delivery {
    /// Name of the sending VM.
    pub from: VmName,
    /// Address of the sender, to reply to; the view doesn't list a VM that is joining or leaving.
    pub address: String,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Messages that this version could decode.
    pub messages: Vec<PeerMessage>,
}

/// A message could not be encoded.
#[derive(Debug, Display, Error)]
#[display("the message cannot be encoded ({source}); check that all VMs run compatible versions")]
pub struct WireError {
    source: serde_json::Error,
}

/// Parameter of the JSON-RPC method `deliver`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub from: VmName,
    pub address: String,
    pub incarnation: Incarnation,
    /// Encoded messages. Each is decoded on its own, so that one of a newer version
    /// does not make the others unreadable during a rolling restart.
    pub messages: Vec<Value>,
}

impl Batch {
    /// Decodes the messages; also returns how many could not be decoded.
    pub fn decode(self) -> (Delivery, u64) {
        let total = self.messages.len();
        let messages: Vec<_> = self
            .messages
            .into_iter()
            .filter_map(decode_message)
            .collect();
        let unreadable = (total - messages.len()) as u64;
        let delivery = Delivery {
            from: self.from,
            address: self.address,
            incarnation: self.incarnation,
            messages,
        };
        (delivery, unreadable)
    }
}

/// Encodes a message as JSON.
pub(crate) fn encode(message: &PeerMessage) -> Result<Value, WireError> {
    serde_json::to_value(message).map_err(|source| WireError { source })
}

/// Decodes a message; `None` if this version does not support it.
fn decode_message(value: Value) -> Option<PeerMessage> {
    serde_json::from_value(value).ok()
}

/// A cached response, as the JSON-RPC method `fetch_answer` returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Response body, encoded as base64.
    #[serde(with = "base64_text")]
    pub body: Vec<u8>,
}

/// Serializes bytes as base64 text.
mod base64_text {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
