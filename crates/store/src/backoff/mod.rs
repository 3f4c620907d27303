//! Growing waits between attempts.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Wait after the first failure.
const FIRST: Duration = Duration::from_millis(200);

/// Longest wait.
const LONGEST: Duration = Duration::from_secs(10);

/// Growing waits between attempts, spread differently for each VM.
///
/// # Examples
///
/// ```
/// use knapweeddale_store::Backoff;
///
/// let mut backoff = Backoff::new("vm-1");
/// let first = backoff.next_wait();
/// let second = backoff.next_wait();
/// assert!(first < second);
/// backoff.reset();
/// assert!(backoff.next_wait() < second);
/// ```
#[derive(Debug, Clone)]
pub struct Backoff {
    vm: String,
    failures: u32,
    waits: u64,
}

impl Backoff {
    /// Makes a back-off for a VM.
    pub fn new(vm: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            failures: 0,
            waits: 0,
        }
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the wait before the next attempt.
    ///
    /// The wait lies between 75% and 100% of a value that doubles with each
    /// failure, so that VMs do not return to the store all at once.
    pub fn next_wait(&mut self) -> Duration {
        let full = FIRST
            .saturating_mul(1 << self.failures.min(10))
            .min(LONGEST);
        self.failures += 1;
        self.waits += 1;
        let mut hasher = DefaultHasher::new();
        (&self.vm, self.waits).hash(&mut hasher);
        let spread_percent = 75 + hasher.finish() % 26;
        full * spread_percent as u32 / 100
    }
}
