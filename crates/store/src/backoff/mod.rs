//! Exponential backoff between attempts.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Delay after the first failure, before jitter.
const INITIAL_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Exponential backoff with a jitter that differs for each VM.
///
/// # Examples
///
/// ```
/// use knapweeddale_store::Backoff;
///
/// let mut backoff = Backoff::new("vm-1");
/// let first = backoff.next_delay();
/// let second = backoff.next_delay();
/// assert!(first < second);
/// backoff.reset();
/// assert!(backoff.next_delay() < second);
/// ```
#[derive(Debug, Clone)]
pub struct Backoff {
    vm: String,
    failures: u32,
    attempts: u64,
}

impl Backoff {
    /// Creates a backoff whose jitter depends on the VM's name.
    pub fn new(vm: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            failures: 0,
            attempts: 0,
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
    pub fn next_delay(&mut self) -> Duration {
        let full_delay = INITIAL_DELAY
            .saturating_mul(1 << self.failures.min(10))
            .min(MAX_DELAY);
        self.failures += 1;
        self.attempts += 1;
        let mut hasher = DefaultHasher::new();
        (&self.vm, self.attempts).hash(&mut hasher);
        let scale_percent = 75 + hasher.finish() % 26;
        full_delay * scale_percent as u32 / 100
    }
}
