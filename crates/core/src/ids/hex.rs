//! Serializes digests as hexadecimal text, which is shorter than a list of numbers.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

/// Serializes bytes as hexadecimal text.
pub(super) fn serialize<S: Serializer, const N: usize>(
    bytes: &[u8; N],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    serializer.serialize_str(&text)
}

/// Deserializes bytes from hexadecimal text.
pub(super) fn deserialize<'de, D: Deserializer<'de>, const N: usize>(
    deserializer: D,
) -> Result<[u8; N], D::Error> {
    deserializer.deserialize_str(HexVisitor)
}

/// Parses the hexadecimal text of exactly `N` bytes.
struct HexVisitor<const N: usize>;

impl<const N: usize> Visitor<'_> for HexVisitor<N> {
    type Value = [u8; N];

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} hexadecimal digits", 2 * N)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        let invalid = || E::invalid_length(text.len(), &self);
        let mut bytes = [0; N];
        if text.len() != 2 * N {
            return Err(invalid());
        }
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| invalid())?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid())?;
        }
        Ok(bytes)
    }
}
