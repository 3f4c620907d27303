//! Identities of calls.

use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};

use knapweeddale_core::{CallId, Incarnation};

/// Numbers the calls of one start of the process.
#[derive(Debug)]
pub(crate) struct CallIds {
    incarnation: Incarnation,
    next: AtomicU64,
}

impl CallIds {
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
pub(crate) fn random_u64() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
