//! Time as the core sees it.

use std::time::Instant;

/// Monotonic time in microseconds.
pub trait Clock: std::fmt::Debug + Clone + Send + Sync + 'static {
    /// Returns the time since an arbitrary start.
    fn now_us(&self) -> u64;
}

/// The system's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// The time at the start, so that subtracting an age never reaches 0.
    const START_US: u64 = 3_600_000_000;

    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for MonotonicClock {
    fn now_us(&self) -> u64 {
        let elapsed_us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        elapsed_us.saturating_add(Self::START_US)
    }
}
