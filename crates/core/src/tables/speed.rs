//! Speeds of upstreams, as the calls of all VMs show them.

use crate::message::UpstreamReport;

/// Half-life of the short-term means, which notice an upstream that is slow for some seconds.
const SHORT_HALF_LIFE_US: u64 = 1_000_000;

/// Half-life of the long-term means, to which the short-term ones return without calls.
const LONG_HALF_LIFE_US: u64 = 30_000_000;

/// Scale of the sums, so that a decay of few microseconds loses nothing to rounding.
const SCALE: u64 = 1_000;

/// Calls with which the long-term mean counts in the short-term one.
const PRIOR_CALLS: u64 = 2;

/// Tokens with which the long-term mean counts in the short-term one.
const PRIOR_TOKENS: u64 = 2_000;

/// Bounds of one sample; other VMs report the values.
const MAX_SAMPLE_CALLS: u64 = 100_000;
const MAX_CALL_US: u64 = 600_000_000;
const MAX_SAMPLE_TOKENS: u64 = 1_000_000_000;
const MAX_TOKEN_US: u64 = 100_000;

/// Calls that have ended, and prompt tokens that were read, with the times for them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpeedSample {
    /// Complete responses.
    pub calls: u64,
    /// Sum of the times that the calls ran, in microseconds.
    pub busy_us: u64,
    /// Prompt tokens that were read.
    pub read_tokens: u64,
    /// Time in which these tokens were read, in microseconds.
    pub read_us: u64,
}

impl SpeedSample {
    /// Returns the difference between two totals of the same process.
    pub fn between(previous: &UpstreamReport, report: &UpstreamReport) -> Self {
        Self {
            calls: report.responses.saturating_sub(previous.responses),
            busy_us: report.busy_us.saturating_sub(previous.busy_us),
            read_tokens: report.read_tokens.saturating_sub(previous.read_tokens),
            read_us: report.read_us.saturating_sub(previous.read_us),
        }
    }

    /// Returns the sample within the bounds in which sums do not overflow.
    fn bounded(self) -> Self {
        let calls = self.calls.min(MAX_SAMPLE_CALLS);
        let read_tokens = self.read_tokens.min(MAX_SAMPLE_TOKENS);
        Self {
            calls,
            busy_us: self.busy_us.min(calls * MAX_CALL_US),
            read_tokens,
            read_us: self.read_us.min(read_tokens * MAX_TOKEN_US),
        }
    }
}

/// Sums of samples that halve in each half-life.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSums {
    calls: u64,
    busy_us: u64,
    read_tokens: u64,
    read_us: u64,
    updated_us: u64,
}

impl DecayingSums {
    /// Returns the sums as they are at a time.
    fn at(self, now_us: u64, half_life_us: u64) -> Self {
        let elapsed_us = now_us.saturating_sub(self.updated_us);
        let halvings = (elapsed_us / half_life_us).min(63);
        let rest_us = elapsed_us % half_life_us;
        let decay = |sum: u64| {
            let sum = sum >> halvings;
            let lost = u128::from(sum) * u128::from(rest_us) / u128::from(2 * half_life_us);
            sum - lost as u64
        };
        Self {
            calls: decay(self.calls),
            busy_us: decay(self.busy_us),
            read_tokens: decay(self.read_tokens),
            read_us: decay(self.read_us),
            updated_us: now_us,
        }
    }

    fn add(&mut self, sample: SpeedSample, now_us: u64, half_life_us: u64) {
        let sample = sample.bounded();
        let sums = self.at(now_us, half_life_us);
        *self = Self {
            calls: sums.calls.saturating_add(sample.calls * SCALE),
            busy_us: sums.busy_us.saturating_add(sample.busy_us * SCALE),
            read_tokens: sums.read_tokens.saturating_add(sample.read_tokens * SCALE),
            read_us: sums.read_us.saturating_add(sample.read_us * SCALE),
            updated_us: now_us,
        };
    }
}

/// Short-term and long-term means of the times of calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedMeans {
    short: DecayingSums,
    long: DecayingSums,
}

impl SpeedMeans {
    /// Adds calls that have ended.
    pub fn add(&mut self, sample: SpeedSample, now_us: u64) {
        self.short.add(sample, now_us, SHORT_HALF_LIFE_US);
        self.long.add(sample, now_us, LONG_HALF_LIFE_US);
    }

    /// Returns the time of a call over the last half a minute; `None` before the first call.
    pub fn long_call_us(&self) -> Option<u64> {
        self.long.busy_us.checked_div(self.long.calls)
    }

    /// Returns the time of a call at present; `None` before the first call.
    pub fn call_us(&self, now_us: u64) -> Option<u64> {
        let long_us = self.long_call_us()?;
        let short = self.short.at(now_us, SHORT_HALF_LIFE_US);
        let prior = PRIOR_CALLS * SCALE;
        let busy_us = short.busy_us.saturating_add(long_us.saturating_mul(prior));
        Some(busy_us / (short.calls + prior))
    }

    /// Returns the time in which a prompt token is read at present; `None` before it was measured.
    pub fn prefill_ns_per_token(&self, now_us: u64) -> Option<u64> {
        let ns = |us: u64| us.saturating_mul(1_000);
        let long_ns = ns(self.long.read_us).checked_div(self.long.read_tokens)?;
        let short = self.short.at(now_us, SHORT_HALF_LIFE_US);
        let prior = PRIOR_TOKENS * SCALE;
        let read_ns = ns(short.read_us).saturating_add(long_ns.saturating_mul(prior));
        Some(read_ns / (short.read_tokens + prior))
    }
}

/// The speed of an upstream, and what this VM reports about it.
#[derive(Debug, Clone)]
pub struct Speed {
    /// Totals of this VM's own calls.
    pub own: UpstreamReport,
    /// Whether `own` has changed since it was reported.
    pub is_changed: bool,
    /// Time of the last report; 0 if there was none.
    pub reported_us: u64,
    /// Means over the calls of all VMs.
    pub means: SpeedMeans,
}

impl Speed {
    /// Creates the row of an upstream's process without calls.
    pub fn new(own: UpstreamReport) -> Self {
        Self {
            own,
            is_changed: false,
            reported_us: 0,
            means: SpeedMeans::default(),
        }
    }
}
