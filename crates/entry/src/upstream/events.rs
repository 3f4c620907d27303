//! Reader of server-sent events from an engine.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reqwest::Response;
use tokio::time::timeout;

/// Maximum size of an event; one token takes a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why the next event could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventError {
    /// The connection broke, the stream ended, or an event was too large.
    Lost,
    /// No bytes arrived within the timeout.
    Silent,
}

/// Splits the body of a response into events.
#[derive(Debug)]
pub(crate) struct EventReader {
    response: Response,
    buffer: BytesMut,
}

impl EventReader {
    pub fn new(response: Response) -> Self {
        Self {
            response,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next event, including the blank line that ends it.
    ///
    /// `limit` is the maximum time without bytes; it starts again whenever bytes arrive.
    pub async fn next(&mut self, limit: Duration) -> Result<Bytes, EventError> {
        loop {
            if let Some(end) = find_event_end(&self.buffer) {
                return Ok(self.buffer.split_to(end).freeze());
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventError::Lost);
            }
            match timeout(limit, self.response.chunk()).await {
                Ok(Ok(Some(bytes))) => self.buffer.extend_from_slice(&bytes),
                Ok(Ok(None) | Err(_)) => return Err(EventError::Lost),
                Err(_) => return Err(EventError::Silent),
            }
        }
    }
}

/// Returns the length of the first complete event, including its blank line.
fn find_event_end(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|w| w == b"\n\n");
    let crlf = buffer.windows(4).position(|w| w == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
        (Some(lf), _) => Some(lf + 2),
        (None, Some(crlf)) => Some(crlf + 4),
        (None, None) => None,
    }
}

/// Returns the value of the first `data` line of an event.
pub(crate) fn parse_event_data(event: &[u8]) -> Option<&[u8]> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let data = line.strip_prefix(b"data:")?;
        Some(data.trim_ascii())
    })
}
