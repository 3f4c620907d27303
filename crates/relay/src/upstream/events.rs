//! Splits a server-sent event stream into events.

use bytes::{Bytes, BytesMut};
use knapweeddale_runtime::{MemoryLimiter, MemoryPermit};
use tokio::task::coop::consume_budget;

use super::ReadError;

/// Limit for one event, and for what lies between two events.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One complete event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    /// The raw event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Its ID; `None` without an `id` field that is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Returns the values of the event's `data` fields.
    pub fn data(&self) -> impl Iterator<Item = &[u8]> {
        let lines = self.bytes.split(|byte| *byte == b'\n');
        lines.filter_map(|line| {
            let value = line.strip_prefix(b"data:")?;
            let value = value.strip_prefix(b" ").unwrap_or(value);
            Some(value.strip_suffix(b"\r").unwrap_or(value))
        })
    }
}

/// Splits a stream into complete events, so that a partial one is never forwarded.
#[derive(Debug)]
pub(crate) struct EventReader {
    buffer: BytesMut,
    limiter: MemoryLimiter,
    /// The permit for `buffer`.
    permit: MemoryPermit,
    /// Bytes at the start of the buffer that contain no end of an event.
    searched_len: usize,
    /// Bytes of comments since the last event.
    comment_bytes: usize,
}

impl EventReader {
    /// Creates a reader whose buffer and events are limited by `limiter`.
    pub fn new(limiter: &MemoryLimiter) -> Self {
        Self {
            buffer: BytesMut::new(),
            limiter: limiter.clone(),
            permit: limiter.permit(),
            searched_len: 0,
            comment_bytes: 0,
        }
    }

    /// Appends bytes of the stream.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for an event that is longer than usual.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        self.buffer.extend_from_slice(bytes);
        Ok(self.permit.resize(self.buffer.len())?)
    }

    /// Removes and returns the next complete event, if there is one.
    ///
    /// Blocks without data, such as comments that keep a connection open, are dropped: they must
    /// not pass for progress. Other tasks run between blocks, as many tiny ones would keep the
    /// traffic thread from them.
    ///
    /// # Errors
    ///
    /// Fails if an event, or the comments between two events, exceed the limit.
    pub async fn next(&mut self) -> Result<Option<Event>, ReadError> {
        while let Some(end) = self.find_event_end() {
            consume_budget().await;
            self.searched_len = 0;
            let bytes = self.split_to(end)?;
            let id = parse_event_id(&bytes);
            let event = Event { bytes, id };
            if event.data().next().is_some() {
                self.comment_bytes = 0;
                return Ok(Some(event));
            }
            self.comment_bytes += event.bytes.len();
        }
        if self.buffer.len() + self.comment_bytes > MAX_EVENT_BYTES {
            return Err(ReadError::malformed("an event exceeds the limit"));
        }
        Ok(None)
    }

    /// Removes the first bytes from the buffer, with the permit to keep them.
    fn split_to(&mut self, end: usize) -> Result<Bytes, ReadError> {
        let bytes = self.buffer.split_to(end).freeze();
        self.permit.resize(self.buffer.len())?;
        let mut permit = self.limiter.permit();
        permit.resize(bytes.len())?;
        Ok(permit.attach(bytes))
    }

    /// Returns whether bytes of an incomplete event are left.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Finds the end of the first event, which is an empty line.
    fn find_event_end(&mut self) -> Option<usize> {
        let from = self.searched_len.saturating_sub(3);
        let rest = &self.buffer[from..];
        let at = rest.iter().enumerate().find_map(|(at, byte)| {
            let after = &rest[at + 1..];
            match (byte, after) {
                (b'\n', [b'\n', ..]) => Some(at + 2),
                (b'\n', [b'\r', b'\n', ..]) => Some(at + 3),
                _ => None,
            }
        });
        self.searched_len = self.buffer.len();
        at.map(|at| from + at)
    }
}

/// Parses the `id` field of an event.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
