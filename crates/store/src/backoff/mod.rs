//! Exponential backoff between attempts.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Delay after the first failure, before jitter.
const FIRST: Duration = Duration::from_millis(200);

/// Maximum delay.
const LONGEST: Duration = Duration::from_secs(10);

/// Exponential backoff with a jitter that differs for each VM.
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
    /// Creates a backoff whose jitter depends on the VM's name.
    pub fn new(vm: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            failures: 0,
            waits: 0,
        }
    }

    /// Returns to the shortest delay after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay before the next attempt.
    ///
    /// The delay lies between 75% and 100% of a value that doubles with each
    /// failure, so that the VMs do not all retry the store at the same time.
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
