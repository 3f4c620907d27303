//! Clocks that provide the time for the core.

use std::time::Instant;

use rustix::time::{ClockId, clock_gettime};

/// Offset of all clocks, so that a time minus an age never reaches 0.
const CLOCK_OFFSET_US: u64 = 3_600_000_000;

/// A monotonic clock.
pub trait Clock: std::fmt::Debug + Clone + Send + Sync + 'static {
    /// Returns the time in microseconds since an arbitrary start.
    fn now_us(&self) -> u64;
}

/// The system's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
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
        elapsed_us.saturating_add(CLOCK_OFFSET_US)
    }
}

/// The system's monotonic clock that also counts the time for which the machine was suspended.
///
/// Ages of data that was read from the store have to include that time.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now_us(&self) -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let micros = u64::try_from(time.tv_nsec / 1_000).unwrap_or_default();
        seconds * 1_000_000 + micros + CLOCK_OFFSET_US
    }
}
