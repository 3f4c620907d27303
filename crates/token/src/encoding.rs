//! The binary encoding of signed values.
//!
//! Numbers are big-endian; texts are preceded by their length in two bytes.
//! Each value has exactly one encoding.

use derive_more::{Display, Error};

/// Why bytes could not be decoded.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes end too early.
    #[display("the value is cut short")]
    Truncated,
    /// Bytes follow the value.
    #[display("bytes follow the value")]
    TrailingBytes,
    /// A text is not UTF-8.
    #[display("a text is not UTF-8")]
    InvalidUtf8,
}

/// Encodes the fields of a value.
#[derive(Debug, Default)]
pub struct Encoder(Vec<u8>);

impl Encoder {
    /// Appends one byte.
    pub fn byte(&mut self, value: u8) -> &mut Self {
        self.0.push(value);
        self
    }

    /// Appends a 32-bit number.
    pub fn u32(&mut self, value: u32) -> &mut Self {
        self.0.extend(value.to_be_bytes());
        self
    }

    /// Appends a 64-bit number.
    pub fn u64(&mut self, value: u64) -> &mut Self {
        self.0.extend(value.to_be_bytes());
        self
    }

    /// Appends the bytes of a field of fixed length.
    pub fn bytes(&mut self, value: &[u8]) -> &mut Self {
        self.0.extend(value);
        self
    }

    /// Appends a text of at most 65,535 bytes; a longer text is truncated.
    pub fn text(&mut self, value: &str) -> &mut Self {
        let len = u16::try_from(value.len()).unwrap_or(u16::MAX);
        self.0.extend(len.to_be_bytes());
        self.0.extend(&value.as_bytes()[..usize::from(len)]);
        self
    }

    /// Returns the encoded bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}

/// Decodes the fields of a value.
#[derive(Debug)]
pub struct Decoder<'a>(&'a [u8]);

impl<'a> Decoder<'a> {
    /// Creates a decoder that starts at the first of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    /// Reads one byte.
    ///
    /// # Errors
    ///
    /// Fails if the bytes end too early.
    pub fn byte(&mut self) -> Result<u8, DecodeError> {
        Ok(self.array::<1>()?[0])
    }

    /// Reads a 32-bit number.
    ///
    /// # Errors
    ///
    /// Fails if the bytes end too early.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// Reads a 64-bit number.
    ///
    /// # Errors
    ///
    /// Fails if the bytes end too early.
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// Reads a fixed number of bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes end too early.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (head, rest) = self.0.split_first_chunk().ok_or(DecodeError::Truncated)?;
        self.0 = rest;
        Ok(*head)
    }

    /// Reads a text.
    ///
    /// # Errors
    ///
    /// Fails if the bytes end too early or are not UTF-8.
    pub fn text(&mut self) -> Result<&'a str, DecodeError> {
        let len = usize::from(u16::from_be_bytes(self.array()?));
        let (head, rest) = self.0.split_at_checked(len).ok_or(DecodeError::Truncated)?;
        self.0 = rest;
        std::str::from_utf8(head).map_err(|_| DecodeError::InvalidUtf8)
    }

    /// Checks that all bytes have been read.
    ///
    /// # Errors
    ///
    /// Fails if bytes are left.
    pub fn end(self) -> Result<(), DecodeError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::TrailingBytes)
        }
    }
}
