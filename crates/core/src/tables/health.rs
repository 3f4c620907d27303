//! Failure detection for an upstream: ejection and backoff.

/// Consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 5;

/// Duration of the first ejection.
const BASE_EJECTION_US: u64 = 5_000_000;

/// Duration of the longest ejection.
const MAX_EJECTION_US: u64 = 300_000_000;

/// Consecutive successes after which the duration of ejections starts at `BASE_EJECTION_US` again.
const EJECTION_RESET_SUCCESSES: u32 = 10;

/// Shortest backoff after a crash or a failed connection.
const MIN_BACKOFF_US: u64 = 1_000_000;

/// Time for which a crash counts as recent; longer than any call lasts.
const CRASH_RETENTION_US: u64 = 10_000_000;

/// Backoff after the upstream refused a call because it was full: until other VMs have reported
/// the load that filled it.
const FULL_BACKOFF_US: u64 = 300_000;

/// The same if no other upstream of its pool is ready, so that one refusal does not stop the pool.
const ONLY_FULL_BACKOFF_US: u64 = 20_000;

/// Health of an upstream, as seen by the owner of its pool.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive successes.
    successes: u32,
    /// Ejections that lengthen the next one.
    ejections: u32,
    /// End of the ejection; in the past if the upstream is not ejected.
    pub ejected_until_us: u64,
    /// End of the backoff after a crash or a failed connection.
    pub backoff_until_us: u64,
    /// Time until which its places count as taken, after a refusal because it was full.
    pub full_until_us: u64,
    /// Time of the last crash or refused connection; 0 if there was none.
    pub last_crash_us: u64,
    /// Prefixes that were cached before this time are lost.
    pub cache_valid_from_us: u64,
    /// Start of an ejection or of a backoff after a failure whose end was not noticed yet.
    paused_us: Option<u64>,
    /// Whether it is being examined, see [`Examination`](super::Examination).
    pub is_examined: bool,
}

impl Health {
    /// Returns the health of a restarted upstream; an examination of it goes on.
    pub fn after_restart(&self, now_us: u64) -> Self {
        Self {
            cache_valid_from_us: now_us,
            is_examined: self.is_examined,
            ..Self::default()
        }
    }

    /// Returns whether the upstream may get calls: no ejection, no backoff and no examination.
    pub fn is_ready(&self, now_us: u64) -> bool {
        now_us >= self.ejected_until_us && now_us >= self.backoff_until_us && !self.is_examined
    }

    /// Returns whether it crashed or refused a connection so recently that its calls are lost.
    pub fn has_crashed_recently(&self, now_us: u64) -> bool {
        self.last_crash_us > 0 && now_us < self.last_crash_us + CRASH_RETENTION_US
    }

    /// Drops failures and pauses that come from a lost link of this VM, not from the upstream.
    pub fn clear_failures(&mut self, now_us: u64) {
        self.failures = 0;
        self.paused_us = None;
        self.ejected_until_us = self.ejected_until_us.min(now_us);
        self.backoff_until_us = self.backoff_until_us.min(now_us);
    }

    /// Counts the places of the upstream as taken because it was full; returns the end.
    pub fn back_off_full(&mut self, now_us: u64, is_only: bool) -> u64 {
        let backoff_us = if is_only {
            ONLY_FULL_BACKOFF_US
        } else {
            FULL_BACKOFF_US
        };
        self.full_until_us = self.full_until_us.max(now_us + backoff_us);
        self.full_until_us
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.successes += 1;
        if self.successes >= EJECTION_RESET_SUCCESSES {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns whether the upstream has to be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.successes = 0;
        self.failures >= EJECTION_FAILURES
    }

    /// Ejects the upstream and returns the duration, which doubles with each ejection.
    ///
    /// A single failure after the ejection causes the next one.
    pub fn eject(&mut self, now_us: u64) -> u64 {
        let ejection_us = (BASE_EJECTION_US << self.ejections.min(16)).min(MAX_EJECTION_US);
        self.ejections += 1;
        self.failures = EJECTION_FAILURES - 1;
        self.ejected_until_us = now_us + ejection_us;
        self.paused_us = Some(now_us);
        ejection_us
    }

    /// Starts a backoff, longer after consecutive failures, and returns its end.
    pub fn back_off(&mut self, now_us: u64) -> u64 {
        let backoff_us = MIN_BACKOFF_US << self.failures.min(2);
        self.paused_us = Some(now_us);
        self.backoff_until_us = self.backoff_until_us.max(now_us + backoff_us);
        self.backoff_until_us
    }

    /// Returns when an ejection or backoff began that has ended, once.
    pub fn take_return(&mut self, now_us: u64) -> Option<u64> {
        if self.paused_us.is_none() || !self.is_ready(now_us) {
            return None;
        }
        self.paused_us.take()
    }

    /// Records that it crashed or refused a connection.
    pub fn record_crash(&mut self, now_us: u64) {
        self.last_crash_us = now_us;
    }
}
