//! The learned limit of calls that run at once on an upstream.

/// Load reports that are averaged before the limit changes; they lag, and one
/// report says little about the token rate.
const REPORTS_PER_STEP: u32 = 4;

/// Time after a change before reports count, because reports lag.
const SETTLE_US: u64 = 1_000_000;

/// Time at a limit whose neighbours were not better.
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
/// The limit climbs while a larger batch raises the token rate by at least a
/// quarter of its own growth, and falls while a smaller batch costs less than
/// that: it settles near the knee of the batch curve.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    /// The present limit.
    pub calls: u32,
    /// Lowest limit.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
    /// Mean time between two tokens.
    pub token_us: u64,
    /// The limit and token rate before the last change.
    before: Option<(u32, u64)>,
    /// Whether the next trial is downwards.
    is_down: bool,
    rate_sum: u64,
    reports: u32,
    counts_from_us: u64,
    slowed_us: u64,
}

impl Limit {
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
    pub fn report(
        &mut self,
        now_us: u64,
        running_calls: u32,
        tokens_per_s: u64,
    ) -> Option<LimitReason> {
        // The token rate says something about the limit only while it binds.
        if running_calls < self.calls || now_us < self.counts_from_us {
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
    pub fn finished(&mut self, now_us: u64, token_us: u64, target_us: u64) -> Option<LimitReason> {
        self.token_us = if self.token_us == 0 {
            token_us
        } else {
            (self.token_us * 15 + token_us) / 16
        };
        let is_slow = self.token_us > target_us && now_us >= self.slowed_us + 2 * SETTLE_US;
        if !is_slow || self.calls == self.min {
            return None;
        }
        self.slowed_us = now_us;
        self.before = None;
        self.change(now_us, self.calls - self.calls.div_ceil(10));
        Some(LimitReason::SlowTokens)
    }

    /// Compares the token rate with that before the last change.
    fn step(&mut self, now_us: u64, rate: u64) -> Option<LimitReason> {
        let Some((calls, rate_before)) = self.before.take() else {
            self.before = Some((self.calls, rate));
            let stride = self.calls.div_ceil(8);
            let next = if self.is_down {
                self.calls.saturating_sub(stride)
            } else {
                self.calls + stride
            };
            let reason = if self.is_down {
                LimitReason::RateFlat
            } else {
                LimitReason::RateGrows
            };
            return self.change(now_us, next).then_some(reason);
        };
        let (low, low_rate, high, high_rate) = if calls < self.calls {
            (calls, rate_before, self.calls, rate)
        } else {
            (self.calls, rate, calls, rate_before)
        };
        let growth_permille = 1_000 * u64::from(high - low) / u64::from(low.max(1));
        let is_worth = high_rate * 1_000 >= low_rate * (1_000 + growth_permille / 4);
        let better = if is_worth { high } else { low };
        let is_kept = better == self.calls;
        self.is_down = !is_worth;
        let is_changed = self.change(now_us, better);
        if is_kept {
            return None;
        }
        self.counts_from_us = now_us + HOLD_US;
        let reason = if is_worth {
            LimitReason::RateGrows
        } else {
            LimitReason::RateFlat
        };
        is_changed.then_some(reason)
    }

    /// Sets the limit within its range and starts counting anew.
    fn change(&mut self, now_us: u64, calls: u32) -> bool {
        let calls = calls.clamp(self.min, self.max);
        let is_changed = calls != self.calls;
        self.calls = calls;
        self.rate_sum = 0;
        self.reports = 0;
        self.counts_from_us = now_us + SETTLE_US;
        is_changed
    }
}
