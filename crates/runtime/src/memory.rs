//! Limits the bytes of other processes that this process keeps in memory.
//!
//! Callers, upstreams and other VMs decide how much they send. Each buffer for their bytes holds a
//! [`MemoryPermit`], whose bytes are taken from a [`MemoryLimiter`] before they are read and given
//! back when the buffer is dropped, so that the sum over all buffers has a limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use derive_more::{Display, Error};

/// Bytes of each buffer that are not counted, so that a response or request of an ordinary size is
/// served whatever the others hold. The number of buffers has to be limited by other means.
pub const UNCOUNTED_BYTES: usize = 16 * 1024;

/// The limit for the bytes of a buffer, or of all buffers together, was reached.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq)]
#[display("no memory is left for buffers")]
pub struct MemoryExhausted;

/// A limit for the bytes of all buffers of one kind.
#[derive(Debug, Clone)]
pub struct MemoryLimiter {
    used_bytes: Arc<AtomicUsize>,
    limit_bytes: usize,
}

impl MemoryLimiter {
    /// Creates a limiter of which nothing is used.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            used_bytes: Arc::default(),
            limit_bytes,
        }
    }

    /// Returns a permit for an empty buffer.
    pub fn permit(&self) -> MemoryPermit {
        MemoryPermit {
            limiter: self.clone(),
            counted_bytes: 0,
        }
    }

    /// Returns how many bytes are in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        let take = |used: usize| {
            let used = used.checked_add(bytes)?;
            (used <= self.limit_bytes).then_some(used)
        };
        let taken = self
            .used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.map(|_| ()).map_err(|_| MemoryExhausted)
    }

    fn give_back(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The right to keep the bytes of one buffer; ends when it is dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    limiter: MemoryLimiter,
    counted_bytes: usize,
}

impl MemoryPermit {
    /// Changes the number of bytes that the buffer may have.
    ///
    /// # Errors
    ///
    /// Fails if the limiter has no room for a larger buffer; the permit then stays as it is.
    pub fn resize(&mut self, buffer_bytes: usize) -> Result<(), MemoryExhausted> {
        let counted_bytes = buffer_bytes.saturating_sub(UNCOUNTED_BYTES);
        match counted_bytes.checked_sub(self.counted_bytes) {
            Some(more) => self.limiter.take(more)?,
            None => self.limiter.give_back(self.counted_bytes - counted_bytes),
        }
        self.counted_bytes = counted_bytes;
        Ok(())
    }

    /// Gives back the bytes of a buffer that was dropped.
    pub fn release(&mut self) {
        self.limiter
            .give_back(std::mem::take(&mut self.counted_bytes));
    }

    /// Returns the bytes of the buffer, with which the permit ends.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.counted_bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(PermittedBytes {
            bytes,
            _permit: self,
        })
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.release();
    }
}

/// Bytes together with the permit to keep them.
struct PermittedBytes {
    bytes: Bytes,
    _permit: MemoryPermit,
}

impl AsRef<[u8]> for PermittedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
