//! The encoding of a record: its length, a checksum and the payload.

use std::io::{self, Read};

use crate::LogError;

/// Maximum size of a record in bytes; a larger length can only be damage.
pub const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of the length and the checksum before each payload.
const HEADER_BYTES: usize = 8;

/// Appends the encoded record to `buffer`.
///
/// # Errors
///
/// Fails if the payload is larger than [`MAX_RECORD_BYTES`].
pub(crate) fn encode(payload: &[u8], buffer: &mut Vec<u8>) -> Result<(), LogError> {
    if payload.len() > MAX_RECORD_BYTES {
        return Err(LogError::TooLarge {
            bytes: payload.len(),
            max_bytes: MAX_RECORD_BYTES,
        });
    }
    let len = (payload.len() as u32).to_le_bytes();
    buffer.extend_from_slice(&len);
    buffer.extend_from_slice(&checksum(len, payload).to_le_bytes());
    buffer.extend_from_slice(payload);
    Ok(())
}

/// Reads the payload of the next record into `payload` and returns whether it is intact.
///
/// `rest_bytes` is the number of bytes up to the end of the file.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub(crate) fn read_next(
    reader: &mut impl Read,
    rest_bytes: u64,
    payload: &mut Vec<u8>,
) -> io::Result<bool> {
    if rest_bytes < HEADER_BYTES as u64 {
        return Ok(false);
    }
    let (mut len, mut expected) = ([0; 4], [0; 4]);
    reader.read_exact(&mut len)?;
    reader.read_exact(&mut expected)?;
    let payload_bytes = u32::from_le_bytes(len);
    // A damaged length must not reserve more memory than the file has bytes.
    if u64::from(payload_bytes) > rest_bytes - HEADER_BYTES as u64 {
        return Ok(false);
    }
    payload.clear();
    payload.resize(payload_bytes as usize, 0);
    reader.read_exact(payload)?;
    Ok(checksum(len, payload) == u32::from_le_bytes(expected))
}

/// Returns the size of a record with this payload in bytes.
pub(crate) fn record_bytes(payload: &[u8]) -> u64 {
    (HEADER_BYTES + payload.len()) as u64
}

/// Returns the checksum of a record, which also covers its length.
fn checksum(len: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&len);
    hasher.update(payload);
    hasher.finalize()
}
