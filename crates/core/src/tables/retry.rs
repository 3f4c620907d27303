//! Retry budget of a pool, which limits retries to a percentage of calls.

/// Length of one of the two windows in which calls and retries are counted.
const WINDOW_US: u64 = 10_000_000;

/// Retries that are allowed even if there were few calls.
const MIN_RETRIES: u64 = 3;

/// Counts the calls and retries of the last 10 to 20 seconds.
///
/// # Examples
///
/// ```
/// use knapweeddale_core::tables::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let allowed = (0..10).filter(|_| budget.try_take(0, 20)).count();
/// assert_eq!(allowed, 3);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryBudget {
    window_start_us: u64,
    calls: [u64; 2],
    retries: [u64; 2],
}

impl RetryBudget {
    /// Counts a call.
    pub fn count_call(&mut self, now_us: u64) {
        self.rotate_window(now_us);
        self.calls[0] += 1;
    }

    /// Takes one retry; returns `false` if retries would exceed `percent` of the calls.
    pub fn try_take(&mut self, now_us: u64, percent: u64) -> bool {
        self.rotate_window(now_us);
        let calls: u64 = self.calls.iter().sum();
        let retries: u64 = self.retries.iter().sum();
        if retries >= MIN_RETRIES.max(calls * percent / 100) {
            return false;
        }
        self.retries[0] += 1;
        true
    }

    /// Starts a new window if the present one has ended.
    fn rotate_window(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.window_start_us);
        if elapsed_us < WINDOW_US {
            return;
        }
        let is_recent = elapsed_us < 2 * WINDOW_US;
        self.calls = [0, if is_recent { self.calls[0] } else { 0 }];
        self.retries = [0, if is_recent { self.retries[0] } else { 0 }];
        self.window_start_us = now_us;
    }
}
