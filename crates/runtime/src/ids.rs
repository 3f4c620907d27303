//! Identities of calls and of the start of a process.

use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use knapweeddale_core::{CallId, Incarnation};

/// Numbers the calls of one start of the process.
#[derive(Debug)]
pub struct CallIds {
    incarnation: Incarnation,
    next: AtomicU64,
}

impl CallIds {
    /// Starts at 1.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            next: AtomicU64::new(1),
        }
    }

    /// Returns a new identity.
    pub fn next(&self) -> CallId {
        CallId {
            incarnation: self.incarnation,
            seq: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// Returns a number that no other process draws, from the random keys that the
/// standard library takes from the system for its hash maps.
pub fn random_u64() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// Returns the number of this start: the time in seconds and a random part.
pub fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = elapsed.map(|time| time.as_secs()).unwrap_or_default();
    Incarnation((seconds << 32) | (random_u64() >> 32))
}
