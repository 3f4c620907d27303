//! The learned limit of calls that run at once on an upstream.

/// Load reports that are averaged before the limit changes; they lag, and one
/// report says little about the token rate.
const REPORTS_PER_STEP: u32 = 4;

/// Time after a change before reports count, because reports lag.
const SETTLE_US: u64 = 1_000_000;

/// Time after a decrease until attempts that started before it have ended.
const DECREASE_COOLDOWN_US: u64 = 5_000_000;

/// Time at a limit that could not be raised.
const HOLD_US: u64 = 20_000_000;

/// Why a limit changed.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub enum LimitReason {
    /// The token rate grew with the limit.
    #[display("token rate grows")]
    RateGrows,
    /// The token rate did not grow with the limit.
    #[display("token rate does not grow")]
    RateFlat,
    /// The time between tokens is over its target.
    #[display("time between tokens over target")]
    SlowTokens,
}

/// The learned limit of calls that run at once on an upstream.
///
/// The limit climbs while it binds and a larger batch raises the token rate
/// by at least a quarter of its own growth; it falls when the time between
/// tokens exceeds its target. It settles near the knee of the batch curve.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConcurrencyLimit {
    /// The present limit.
    pub calls: u32,
    /// Lowest limit.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
    /// Mean time between two tokens.
    pub token_us: u64,
    /// The limit and token rate before the last increase.
    previous: Option<(u32, u64)>,
    rate_sum: u64,
    reports: u32,
    reports_from_us: u64,
    decreased_us: u64,
}

impl ConcurrencyLimit {
    /// Makes a limit in the middle of its range.
    pub fn new(min: u32, max: u32) -> Self {
        let mut limit = Self::default();
        limit.set_range(min, max);
        limit.calls = limit.max.div_ceil(2).clamp(limit.min, limit.max);
        limit
    }

    /// Changes the range.
    pub fn set_range(&mut self, min: u32, max: u32) {
        self.min = min.max(1);
        self.max = max.max(self.min);
        self.calls = self.calls.clamp(self.min, self.max);
    }

    /// Learns from a load report; returns why the limit changed, if it did.
    pub fn record_load(
        &mut self,
        now_us: u64,
        running_calls: u32,
        tokens_per_s: u64,
    ) -> Option<LimitReason> {
        // The token rate says something about the limit only while it binds.
        if running_calls < self.calls || now_us < self.reports_from_us {
            return None;
        }
        self.rate_sum += tokens_per_s;
        self.reports += 1;
        if self.reports < REPORTS_PER_STEP {
            return None;
        }
        let rate = self.rate_sum / u64::from(self.reports);
        self.step(now_us, rate)
    }

    /// Learns from the time between tokens of a finished attempt.
    pub fn record_token_time(
        &mut self,
        now_us: u64,
        token_us: u64,
        target_us: u64,
    ) -> Option<LimitReason> {
        // Attempts that ran under the limit before a decrease say nothing about the present one.
        if now_us < self.decreased_us + DECREASE_COOLDOWN_US {
            return None;
        }
        self.token_us = if self.token_us == 0 {
            token_us
        } else {
            (self.token_us * 31 + token_us) / 32
        };
        if self.token_us <= target_us || self.calls == self.min {
            return None;
        }
        self.decreased_us = now_us;
        self.token_us = target_us;
        self.previous = None;
        self.set_calls(now_us, self.calls - self.calls.div_ceil(10));
        self.reports_from_us = now_us + HOLD_US;
        Some(LimitReason::SlowTokens)
    }

    /// Raises the limit if the last increase raised the token rate.
    fn step(&mut self, now_us: u64, rate: u64) -> Option<LimitReason> {
        if let Some((calls, rate_before)) = self.previous.take() {
            let growth_permille =
                1_000 * u64::from(self.calls.saturating_sub(calls)) / u64::from(calls.max(1));
            if rate * 1_000 < rate_before * (1_000 + growth_permille / 4) {
                self.set_calls(now_us, calls);
                self.reports_from_us = now_us + HOLD_US;
                return Some(LimitReason::RateFlat);
            }
        }
        self.previous = Some((self.calls, rate));
        let raised = self.set_calls(now_us, self.calls + self.calls.div_ceil(8));
        raised.then_some(LimitReason::RateGrows)
    }

    /// Sets the limit within its range and starts counting anew.
    fn set_calls(&mut self, now_us: u64, calls: u32) -> bool {
        let calls = calls.clamp(self.min, self.max);
        let is_changed = calls != self.calls;
        self.calls = calls;
        self.rate_sum = 0;
        self.reports = 0;
        self.reports_from_us = now_us + SETTLE_US;
        is_changed
    }
}
