//! Limits the memory of work that can wait until other work of its kind has ended.

use std::fmt;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::PollSemaphore;

use crate::MemoryExhausted;

/// Unit in which memory is reserved.
const UNIT_BYTES: usize = 1024;

/// A limit for the memory of work of one kind, which is reserved in the order of arrival.
///
/// Unlike a [`MemoryLimiter`](crate::MemoryLimiter), it counts every byte, and work waits for memory
/// instead of failing.
#[derive(Debug, Clone)]
pub struct MemoryQueue {
    free_units: Arc<Semaphore>,
    limit_units: u32,
}

impl MemoryQueue {
    /// Creates a queue of which nothing is reserved.
    pub fn new(limit_bytes: usize) -> Self {
        let limit_units = u32::try_from(limit_bytes / UNIT_BYTES).unwrap_or(u32::MAX);
        let limit_units = limit_units.clamp(1, u32::MAX >> 3);
        Self {
            free_units: Arc::new(Semaphore::new(limit_units as usize)),
            limit_units,
        }
    }

    /// Waits until memory is reserved; work that needs more than the limit waits for all of it, and
    /// then has no other work beside it.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let free_units = Arc::clone(&self.free_units);
        // Fails only if the semaphore is closed, which it never is.
        let permit = free_units.acquire_many_owned(self.units(bytes)).await.ok();
        MemoryReservation { _permit: permit }
    }

    /// Returns a reservation to poll, for a future that is written by hand.
    pub fn pending(&self, bytes: usize) -> PendingReservation {
        PendingReservation {
            free_units: PollSemaphore::new(Arc::clone(&self.free_units)),
            units: self.units(bytes),
        }
    }

    /// Reserves memory if it is free and nothing waits for it.
    ///
    /// # Errors
    ///
    /// Fails if the memory is in use.
    pub fn try_reserve(&self, bytes: usize) -> Result<MemoryReservation, MemoryExhausted> {
        let free_units = Arc::clone(&self.free_units);
        let permit = free_units.try_acquire_many_owned(self.units(bytes));
        let permit = permit.map_err(|_| MemoryExhausted)?;
        Ok(MemoryReservation {
            _permit: Some(permit),
        })
    }

    /// Returns how many bytes are reserved.
    pub fn used_bytes(&self) -> usize {
        let used_units = self.limit_units as usize - self.free_units.available_permits();
        used_units * UNIT_BYTES
    }

    /// Returns the units for this many bytes, up to the limit.
    fn units(&self, bytes: usize) -> u32 {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
        units.min(self.limit_units)
    }
}

/// Memory that is reserved until this value is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    _permit: Option<OwnedSemaphorePermit>,
}

/// Memory that is being waited for.
pub struct PendingReservation {
    free_units: PollSemaphore,
    units: u32,
}

impl PendingReservation {
    /// Returns the memory once it is reserved.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<MemoryReservation> {
        let permit = self.free_units.poll_acquire_many(context, self.units);
        permit.map(|permit| MemoryReservation { _permit: permit })
    }
}

impl fmt::Debug for PendingReservation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PendingReservation")
            .field("units", &self.units)
            .finish_non_exhaustive()
    }
}
