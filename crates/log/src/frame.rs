//! The encoding of a record: its length, a checksum and the payload.

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

/// Returns the payload of the first record in `bytes` and the length of the record; `None` if it
/// is incomplete or damaged.
pub(crate) fn decode(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let (len, rest) = bytes.split_first_chunk::<4>()?;
    let (expected, rest) = rest.split_first_chunk::<4>()?;
    let payload = rest.get(..u32::from_le_bytes(*len) as usize)?;
    let is_intact = checksum(*len, payload) == u32::from_le_bytes(*expected);
    is_intact.then_some((payload, HEADER_BYTES + payload.len()))
}

/// Returns the checksum of a record, which also covers its length.
fn checksum(len: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&len);
    hasher.update(payload);
    hasher.finalize()
}
