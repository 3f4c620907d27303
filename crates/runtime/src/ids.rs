//! IDs of calls and incarnations of processes.

use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use knapweeddale_core::{CallId, Incarnation};

/// Generates the IDs of calls, which are unique within one incarnation of the process.
#[derive(Debug)]
pub struct CallIds {
    incarnation: Incarnation,
    next: AtomicU64,
}

impl CallIds {
    /// Creates a generator whose first sequence number is 1.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            next: AtomicU64::new(1),
        }
    }

    /// Returns a new ID.
    pub fn next(&self) -> CallId {
        CallId {
            incarnation: self.incarnation,
            seq: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// Returns a random number that differs between processes, derived from the random keys that the
/// standard library gets from the system for its hash maps.
pub fn random_u64() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// Bits of an incarnation that hold the milliseconds within a second.
const MILLISECOND_BITS: u32 = 10;

/// Bits of an incarnation that are random.
const RANDOM_BITS: u32 = 22;

/// Returns a new incarnation: the Unix time in seconds in the upper half, then the milliseconds,
/// then random bits.
///
/// The milliseconds make it higher than the one of a process that was started and ended within the
/// same second; other VMs ignore a lower one.
pub fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed = elapsed.unwrap_or_default();
    let seconds = elapsed.as_secs() << (MILLISECOND_BITS + RANDOM_BITS);
    let milliseconds = u64::from(elapsed.subsec_millis()) << RANDOM_BITS;
    Incarnation(seconds | milliseconds | (random_u64() >> (u64::BITS - RANDOM_BITS)))
}
