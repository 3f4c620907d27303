//! Failures of an upstream.

use smallvec::SmallVec;

use crate::ids::{CallId, ContentDigest, VmName};

/// Failures in a row after which an upstream is ejected.
const EJECT_FAILURES: u32 = 5;

/// Time of the first ejection.
const EJECT_US: u64 = 5_000_000;

/// Longest ejection.
const MAX_EJECT_US: u64 = 300_000_000;

/// Successes in a row after which earlier ejections are forgotten.
const EJECTION_RESET_SUCCESSES: u32 = 10;

/// Time without calls after a crash or a refused connection.
const BACKOFF_US: u64 = 1_000_000;

/// Time for which a crash is remembered; longer than any call lasts.
const CRASH_RETENTION_US: u64 = 10_000_000;

/// Time without calls after a refusal because the upstream was full.
const FULL_BACKOFF_US: u64 = 20_000;

/// Failures of an upstream, as seen by the owner of its pool.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Failures since the last success.
    pub failures: u32,
    /// Successes since the last failure.
    successes: u32,
    /// Ejections that have not been forgotten.
    ejections: u32,
    /// When the ejection ends.
    pub ejected_until_us: u64,
    /// When the rest after a crash or a refused connection ends.
    pub backoff_until_us: u64,
    /// When it last crashed or refused a connection; 0 if never.
    pub last_crash_us: u64,
    /// Prefixes cached before this time are lost.
    pub cache_valid_from_us: u64,
    /// Contents whose connection broke and whose cause is examined.
    pub lost_attempts: SmallVec<[LostAttempt; 2]>,
}

/// An attempt whose connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostAttempt {
    /// The call.
    pub call: CallId,
    /// Its entry VM.
    pub vm: VmName,
    /// The content.
    pub digest: ContentDigest,
    /// Whether it ran alone on the upstream.
    pub is_exclusive: bool,
}

impl Health {
    /// Returns whether the upstream may get calls.
    pub fn is_ready(&self, now_us: u64) -> bool {
        now_us >= self.ejected_until_us
            && now_us >= self.backoff_until_us
            && self.lost_attempts.is_empty()
    }

    /// Returns whether it crashed or refused a connection so lately that what ran there is lost.
    pub fn has_crashed_recently(&self, now_us: u64) -> bool {
        self.last_crash_us > 0 && now_us < self.last_crash_us + CRASH_RETENTION_US
    }

    /// Keeps calls away for a moment because it was full.
    pub fn back_off_full(&mut self, now_us: u64) -> u64 {
        self.backoff_until_us = self.backoff_until_us.max(now_us + FULL_BACKOFF_US);
        self.backoff_until_us
    }

    /// Counts a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.successes += 1;
        if self.successes >= EJECTION_RESET_SUCCESSES {
            self.ejections = 0;
        }
    }

    /// Counts a failure; returns whether the upstream is due for ejection.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.successes = 0;
        self.failures >= EJECT_FAILURES
    }

    /// Ejects the upstream and returns the time, which doubles with each ejection.
    ///
    /// One more failure after the ejection leads to the next one.
    pub fn eject(&mut self, now_us: u64) -> u64 {
        let time_us = (EJECT_US << self.ejections.min(16)).min(MAX_EJECT_US);
        self.ejections += 1;
        self.failures = EJECT_FAILURES - 1;
        self.ejected_until_us = now_us + time_us;
        time_us
    }

    /// Keeps calls away for a moment, longer with each failure in a row.
    pub fn back_off(&mut self, now_us: u64) -> u64 {
        let rest_us = BACKOFF_US << self.failures.min(2);
        self.backoff_until_us = self.backoff_until_us.max(now_us + rest_us);
        self.last_crash_us = now_us;
        self.backoff_until_us
    }
}
