//! Adaptive limit of the concurrent calls on an upstream.

/// Load reports that are averaged before the limit changes, because reports lag and a single one
/// says little about the token rate.
const REPORTS_PER_STEP: u32 = 4;

/// Time after a change during which reports are ignored, because they lag.
const SETTLE_US: u64 = 1_000_000;

/// Time after a decrease during which token times are ignored: until attempts that started
/// before it have ended.
const DECREASE_COOLDOWN_US: u64 = 5_000_000;

/// Time for which the limit is held after a decrease or an increase without effect.
const HOLD_US: u64 = 20_000_000;

/// Reason for a change of the limit.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub enum LimitReason {
    /// The token rate grew with the limit, so the limit is raised.
    #[display("token rate grows")]
    RateGrows,
    /// The token rate did not grow with the limit, so the last increase is undone.
    #[display("token rate does not grow")]
    RateFlat,
    /// The time between tokens exceeds its target, so the limit is lowered.
    #[display("time between tokens over target")]
    SlowTokens,
}

/// Adaptive limit of the concurrent calls on an upstream.
///
/// The limit rises while it is reached and the token rate grows by at least a quarter of the
/// growth of the limit. It falls when the time between tokens exceeds its target. So it
/// converges near the batch size beyond which throughput stops growing.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConcurrencyLimit {
    /// The present limit, in calls.
    pub calls: u32,
    /// Lower bound of the limit.
    pub min: u32,
    /// Upper bound of the limit.
    pub max: u32,
    /// Moving average of the time between two tokens; 0 before the first attempt.
    pub token_us: u64,
    /// Limit and token rate before the last increase, until its effect is known.
    previous: Option<(u32, u64)>,
    rate_sum: u64,
    reports: u32,
    reports_from_us: u64,
    decreased_us: u64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts in the middle of its range.
    pub fn new(min: u32, max: u32) -> Self {
        let mut limit = Self::default();
        limit.set_range(min, max);
        limit.calls = limit.max.div_ceil(2).clamp(limit.min, limit.max);
        limit
    }

    /// Changes the bounds and moves the limit into them.
    pub fn set_range(&mut self, min: u32, max: u32) {
        self.min = min.max(1);
        self.max = max.max(self.min);
        self.calls = self.calls.clamp(self.min, self.max);
    }

    /// Records a load report; returns the reason if the limit changed.
    pub fn record_load(
        &mut self,
        now_us: u64,
        running_calls: u32,
        tokens_per_s: u64,
    ) -> Option<LimitReason> {
        // The token rate depends on the limit only while the limit is reached.
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

    /// Records the token time of a finished attempt; returns the reason if the limit changed.
    pub fn record_token_time(
        &mut self,
        now_us: u64,
        token_us: u64,
        target_us: u64,
    ) -> Option<LimitReason> {
        // Attempts that started before a decrease ran under the earlier limit.
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

    /// Raises the limit, or undoes the last increase if it did not raise the token rate.
    fn step(&mut self, now_us: u64, rate: u64) -> Option<LimitReason> {
        if let Some((calls, previous_rate)) = self.previous.take() {
            let growth_permille =
                1_000 * u64::from(self.calls.saturating_sub(calls)) / u64::from(calls.max(1));
            if rate * 1_000 < previous_rate * (1_000 + growth_permille / 4) {
                self.set_calls(now_us, calls);
                self.reports_from_us = now_us + HOLD_US;
                return Some(LimitReason::RateFlat);
            }
        }
        self.previous = Some((self.calls, rate));
        let raised = self.set_calls(now_us, self.calls + self.calls.div_ceil(8));
        raised.then_some(LimitReason::RateGrows)
    }

    /// Sets the limit within its bounds, resets the average and returns whether the limit changed.
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
