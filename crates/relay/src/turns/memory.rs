//! The memory of an entry VM for kept turns under way.

use std::time::Duration;

use knapweeddale_runtime::{MemoryPermit, MemoryQueue, MemoryReservation};
use tokio::time::{Instant, timeout_at};

use super::errors::HistoryError;
use crate::memory::TurnMemoryPlan;

/// Longest wait for the memory of a turn. The call of the turn has a place at an upstream
/// meanwhile, which others lack.
const HOLD_TIMEOUT: Duration = Duration::from_millis(400);

/// Size up to which a content is an ordinary one. Longer ones have memory of their own, so that
/// ordinary turns do not wait for them.
pub(super) const ORDINARY_BYTES: usize = 64 * 1024;

/// Memory up to which a turn under way is an ordinary one; longer ones have memory of their own.
const ORDINARY_HELD_BYTES: usize = 256 * 1024;

/// Memory of a transfer for each byte of its content: Base64 text takes 4 bytes for 3, and it is
/// held twice, once within the parameters and once within the request.
const TRANSFER_FACTOR: usize = 3;

/// The memory of a turn under way; it is free again when this value is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    /// For the prompt, and for the content as far as it was expected.
    pub(super) _reservation: MemoryReservation,
    /// For the content beyond that.
    pub(super) growth: MemoryPermit,
}

/// The memory of an entry VM for kept turns under way.
///
/// What a turn needs is held before its request is sent to an upstream, so that a turn that runs
/// is not cut off because others use the memory. Transfers to and from storage VMs take memory of
/// their own and wait for it in their order; they never wait for memory that turns hold.
#[derive(Debug)]
pub(crate) struct TurnMemory {
    held: MemoryQueue,
    long_held: MemoryQueue,
    lookups: MemoryQueue,
    stores: MemoryQueue,
    long_transfers: MemoryQueue,
}

impl TurnMemory {
    /// Creates the account of a process that divides its memory like this.
    pub fn new(plan: &TurnMemoryPlan) -> Self {
        Self {
            held: MemoryQueue::new(plan.held_bytes),
            long_held: MemoryQueue::new(plan.long_held_bytes),
            lookups: MemoryQueue::new(plan.lookup_bytes),
            stores: MemoryQueue::new(plan.store_bytes),
            long_transfers: MemoryQueue::new(plan.long_transfer_bytes),
        }
    }

    /// Waits for the memory of a turn.
    ///
    /// # Errors
    ///
    /// Fails if it does not become free in time.
    pub async fn hold(
        &self,
        bytes: usize,
        deadline: Instant,
    ) -> Result<MemoryReservation, HistoryError> {
        let deadline = deadline.min(Instant::now() + HOLD_TIMEOUT);
        let held = timeout_at(deadline, self.held_queue(bytes).reserve(bytes)).await;
        held.map_err(|_| HistoryError::NoMemory { bytes })
    }

    /// Reserves the memory of a turn if it is free.
    pub fn try_hold(&self, bytes: usize) -> Option<MemoryReservation> {
        self.held_queue(bytes).try_reserve(bytes).ok()
    }

    /// Returns the queue for a turn that needs this much memory.
    fn held_queue(&self, bytes: usize) -> &MemoryQueue {
        if bytes <= ORDINARY_HELD_BYTES {
            &self.held
        } else {
            &self.long_held
        }
    }

    /// Waits for the memory to receive a chain of up to this size.
    pub async fn receive(&self, chain_bytes: usize) -> MemoryReservation {
        let queue = self.transfers(&self.lookups, chain_bytes);
        queue.reserve(chain_bytes * TRANSFER_FACTOR).await
    }

    /// Waits for the memory to send contents of this size.
    pub async fn send(&self, content_bytes: usize) -> MemoryReservation {
        let queue = self.transfers(&self.stores, content_bytes);
        queue.reserve(content_bytes * TRANSFER_FACTOR).await
    }

    /// Returns `ordinary`, or the queue of long transfers.
    fn transfers<'a>(&'a self, ordinary: &'a MemoryQueue, bytes: usize) -> &'a MemoryQueue {
        if bytes <= ORDINARY_BYTES {
            ordinary
        } else {
            &self.long_transfers
        }
    }

    /// Returns the memory that turns hold.
    pub fn held_bytes(&self) -> usize {
        self.held.used_bytes() + self.long_held.used_bytes()
    }

    /// Returns the memory of transfers to and from storage VMs.
    pub fn transfer_bytes(&self) -> usize {
        let queues = [&self.lookups, &self.stores, &self.long_transfers];
        queues.into_iter().map(MemoryQueue::used_bytes).sum()
    }
}
