//! Frames in which the bytes of a tunnel travel between two VMs.
//!
//! The end of a response that is framed by the end of its connection must be told from the end of
//! the proxy VM's process, so a clean end is a frame of its own.

use std::io;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Longest payload of a frame.
pub(super) const MAX_PAYLOAD_BYTES: usize = 16_384;

/// Length of a frame's kind and the length of its payload.
pub(super) const HEADER_BYTES: usize = 5;

/// What a frame holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FrameKind {
    /// Opens a tunnel to the upstream with this name.
    Open,
    /// Answers whether the proxy VM has connected, as one byte.
    Opened,
    /// The ID of the request that follows, for the logs of the proxy VM.
    Request,
    /// Bytes of the connection.
    Data,
    /// The upstream has closed the connection.
    End,
}

impl FrameKind {
    /// Returns the byte that stands for the kind.
    pub fn code(self) -> u8 {
        match self {
            Self::Open => 1,
            Self::Opened => 2,
            Self::Request => 3,
            Self::Data => 4,
            Self::End => 5,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        let kinds = [
            Self::Open,
            Self::Opened,
            Self::Request,
            Self::Data,
            Self::End,
        ];
        kinds.into_iter().find(|kind| kind.code() == code)
    }
}

/// Appends a frame; the payload must not be longer than [`MAX_PAYLOAD_BYTES`].
pub(super) fn encode_frame(kind: FrameKind, payload: &[u8], output: &mut BytesMut) {
    output.reserve(HEADER_BYTES + payload.len());
    output.put_u8(kind.code());
    output.put_u32(u32::try_from(payload.len()).unwrap_or(u32::MAX));
    output.put_slice(payload);
}

/// Removes and returns the first frame; `None` if it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are no frame.
pub(super) fn decode_frame(input: &mut BytesMut) -> io::Result<Option<(FrameKind, Bytes)>> {
    let Some(header) = input.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let [code, length @ ..] = *header;
    let length = u32::from_be_bytes(length) as usize;
    let Some(kind) = FrameKind::from_code(code).filter(|_| length <= MAX_PAYLOAD_BYTES) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    if input.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    input.advance(HEADER_BYTES);
    Ok(Some((kind, input.split_to(length).freeze())))
}
