//! The wire form of messages.

use derive_more::{Display, Error};
use knapweeddale_core::{Incarnation, PeerMessage, VmName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Messages of one VM to another, in the order in which they were sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delivery {
    /// The sender.
    pub from: VmName,
    /// Where the sender is reached; a VM that joins or leaves is in no view.
    pub address: String,
    /// The start of the sender's process.
    pub incarnation: Incarnation,
    /// The messages.
    pub messages: Vec<PeerMessage>,
}

/// A message cannot be written or read.
#[derive(Debug, Display, Error)]
#[display("the message has no wire form ({source}); check that all VMs run compatible versions")]
pub struct WireError {
    source: serde_json::Error,
}

/// The parameters of `deliver`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub from: VmName,
    pub address: String,
    pub incarnation: Incarnation,
    /// Each message is decoded on its own, so that one of a newer version does
    /// not make the others unreadable during a rolling restart.
    pub messages: Vec<Value>,
}

impl Batch {
    /// Decodes the messages; returns how many could not be read.
    pub fn decode(self) -> (Delivery, u64) {
        let total = self.messages.len();
        let messages: Vec<_> = self.messages.into_iter().filter_map(read).collect();
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

/// Returns the wire form of a message.
pub(crate) fn write(message: &PeerMessage) -> Result<Value, WireError> {
    serde_json::to_value(message).map_err(|source| WireError { source })
}

/// Reads a message; `None` if this version does not know it.
fn read(value: Value) -> Option<PeerMessage> {
    serde_json::from_value(value).ok()
}

/// A kept response, as `fetch_answer` returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of `content-type`.
    pub content_type: String,
    /// The body.
    #[serde(with = "base64_text")]
    pub body: Vec<u8>,
}

/// Bytes as base64 text.
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
