//! A token bucket in integer arithmetic.

/// Billionths of a call (ncalls) in one call.
pub const NCALLS_PER_CALL: u64 = 1_000_000_000;

/// A token bucket that admits calls.
///
/// Thousandths of a call per second times microseconds are billionths of a call, so a refill
/// needs no rounding.
///
/// # Examples
///
/// ```
/// use knapweeddale_core::tables::{Bucket, NCALLS_PER_CALL};
///
/// let mut bucket = Bucket::full(10_000, 2 * NCALLS_PER_CALL, 0);
/// assert!(bucket.try_take(0) && bucket.try_take(0) && !bucket.try_take(0));
/// assert_eq!(bucket.ready_in_us(0), Some(100_000));
/// assert!(bucket.try_take(100_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Bucket {
    /// Refill rate, in thousandths of a call per second.
    pub rate_mcalls_per_s: u64,
    /// Capacity, in billionths of a call.
    pub burst_ncalls: u64,
    /// Level at `updated_us`, in billionths of a call.
    pub level_ncalls: u64,
    /// Time of the last refill.
    pub updated_us: u64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn full(rate_mcalls_per_s: u64, burst_ncalls: u64, now_us: u64) -> Self {
        Self {
            rate_mcalls_per_s,
            burst_ncalls,
            level_ncalls: burst_ncalls,
            updated_us: now_us,
        }
    }

    /// Refills the bucket for the time since the last refill.
    pub fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us);
        let grown_ncalls = self.rate_mcalls_per_s.saturating_mul(elapsed_us);
        self.level_ncalls = self
            .level_ncalls
            .saturating_add(grown_ncalls)
            .min(self.burst_ncalls);
        self.updated_us = self.updated_us.max(now_us);
    }

    /// Takes one call; returns `false` and takes nothing if the level is below one call.
    pub fn try_take(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        if self.level_ncalls < NCALLS_PER_CALL {
            return false;
        }
        self.level_ncalls -= NCALLS_PER_CALL;
        true
    }

    /// Returns the time until one call can be taken; `None` if that never happens.
    pub fn ready_in_us(&self, now_us: u64) -> Option<u64> {
        let mut bucket = *self;
        bucket.refill(now_us);
        let missing_ncalls = NCALLS_PER_CALL.saturating_sub(bucket.level_ncalls);
        if missing_ncalls == 0 {
            return Some(0);
        }
        if bucket.rate_mcalls_per_s == 0 || bucket.burst_ncalls < NCALLS_PER_CALL {
            return None;
        }
        Some(missing_ncalls.div_ceil(bucket.rate_mcalls_per_s))
    }
}
