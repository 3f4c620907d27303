//! Upstreams and the attempts that run on them.

use std::collections::BTreeSet;
use std::sync::Arc;

use smallvec::SmallVec;

use super::{ConcurrencyLimit, Health, Link};
use crate::config::UpstreamConfig;
use crate::ids::{
    AccountName, AttemptId, ContentDigest, ModelName, PoolKey, ProgramKey, StreamOrigin,
    UpstreamName, VmName,
};

/// Initial estimate of the prefill time per token, until it has been measured.
const INITIAL_PREFILL_NS_PER_TOKEN: u64 = 20_000;

/// Initial estimate of the accuracy of cache hints in percent, until it has been measured.
const INITIAL_HINT_ACCURACY_PERCENT: u64 = 90;

/// An upstream with its load, its health and what was learned about it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its published configuration.
    pub config: UpstreamConfig,
    /// Its address, shared with the outputs that dispatch calls to it.
    pub address: Arc<str>,
    /// Models that it reports as loaded; `None` if it does not report models.
    pub loaded_models: Option<Vec<ModelName>>,
    /// Consecutive load reports without a running call.
    pub idle_reports: u32,
    /// Pools that it belongs to.
    pub pools: SmallVec<[PoolKey; 1]>,
    /// Attempts that this VM, as owner of a pool, has placed on it.
    pub attempts: BTreeSet<AttemptId>,
    /// Calls in the last load report that this VM did not place.
    pub foreign_calls: u32,
    /// Highest number of concurrent attempts since the last load report and between the last two.
    /// Reports lag, so they may still include attempts that have ended.
    pub peak_calls: [u32; 2],
    /// Calls of this VM that run on it.
    pub own_calls: u32,
    /// Learned limit of its concurrent calls.
    pub limit: ConcurrencyLimit,
    /// Failures, ejection and backoff.
    pub health: Health,
    /// Rate of calls that it takes from all VMs together while it is cold; 0 if not limited.
    pub cold_mcalls_per_s: u64,
    /// This VM's link to it.
    pub link: Link,
    /// Whether its process has stated in a response that it is leaving.
    pub has_given_notice: bool,
    /// Whether it runs a call that must be the only one there.
    pub has_exclusive_call: bool,
    /// Estimated time at which it has prefilled all prompts placed on it so far.
    pub prefill_until_us: u64,
    /// Measured prefill time per token.
    pub prefill_ns_per_token: u64,
    /// Measured accuracy of cache hints: the part of the hinted tokens that was cached, in percent.
    pub hint_accuracy_percent: u64,
    /// Moving average of the time that a call runs on it.
    pub mean_call_us: u64,
    /// Calls that this VM has placed on it in the current period of shared places.
    pub placed: PeriodCount,
    /// Load with which it stands in the `available` sets of its pools; `None` if it has no room.
    pub open_load_permille: Option<u64>,
}

impl Upstream {
    /// Creates the row of an upstream on which nothing runs.
    pub fn new(config: UpstreamConfig) -> Self {
        Self {
            address: Arc::from(config.address.as_str()),
            loaded_models: None,
            idle_reports: 0,
            pools: SmallVec::new(),
            attempts: BTreeSet::new(),
            foreign_calls: 0,
            peak_calls: [0; 2],
            own_calls: 0,
            limit: ConcurrencyLimit::new(config.min_running_calls, config.max_running_calls),
            health: Health::default(),
            cold_mcalls_per_s: 0,
            link: Link::default(),
            has_given_notice: false,
            has_exclusive_call: false,
            prefill_until_us: 0,
            prefill_ns_per_token: INITIAL_PREFILL_NS_PER_TOKEN,
            hint_accuracy_percent: INITIAL_HINT_ACCURACY_PERCENT,
            mean_call_us: 1_000_000,
            placed: PeriodCount::default(),
            open_load_permille: None,
            config,
        }
    }

    /// Applies a new published configuration and keeps what was learned.
    pub fn configure(&mut self, config: UpstreamConfig) {
        self.address = Arc::from(config.address.as_str());
        self.limit
            .set_range(config.min_running_calls, config.max_running_calls);
        self.config = config;
    }

    /// Resets what no longer holds after a restart of its process.
    pub fn reset_after_restart(&mut self, now_us: u64) {
        self.health = self.health.after_restart(now_us);
        self.prefill_until_us = 0;
    }

    /// Returns whether it offers a model and, as far as it reports that, has it loaded.
    pub fn can_run_model(&self, model: &ModelName) -> bool {
        let is_loaded = |loaded: &Vec<ModelName>| loaded.contains(model);
        self.config.models.contains(model) && self.loaded_models.as_ref().is_none_or(is_loaded)
    }

    /// Returns the number of calls that run on it, whoever placed them.
    pub fn running_calls(&self) -> u32 {
        self.attempts.len() as u32 + self.foreign_calls
    }

    /// Returns the limit of its concurrent calls, learned or configured.
    pub fn limit_calls(&self, is_learned: bool) -> u32 {
        if is_learned {
            self.limit.calls
        } else {
            self.limit.max
        }
    }

    /// Returns whether it is leaving, by its entry in the list or by its own responses.
    pub fn is_leaving(&self) -> bool {
        self.config.leaving || self.has_given_notice
    }

    /// Returns whether it takes new calls while it is healthy: neither leaving nor evacuated.
    pub fn takes_new_calls(&self) -> bool {
        !self.is_leaving() && !self.config.is_evacuated
    }

    /// Returns whether it may get new calls at all: neither leaving nor evacuated nor ejected nor in
    /// backoff.
    pub fn is_usable(&self, now_us: u64) -> bool {
        self.takes_new_calls() && self.health.is_ready(now_us)
    }

    /// Returns whether a stream of this origin may run on it; one without an origin may.
    pub fn fits(&self, origin: Option<&StreamOrigin>) -> bool {
        origin.is_none_or(|origin| origin.version == self.config.software_version)
    }

    /// Returns whether it may get one more call now, with a limit of its concurrent calls.
    pub fn has_room(&self, now_us: u64, limit_calls: u32) -> bool {
        self.is_usable(now_us)
            && now_us >= self.health.full_until_us
            && !self.has_exclusive_call
            && self.running_calls() < limit_calls
    }
}

/// A count of calls that starts anew in each period.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeriodCount {
    period: u64,
    calls: u32,
}

impl PeriodCount {
    /// Returns the calls that were counted in a period, the current one.
    pub fn in_period(&self, period: u64) -> u32 {
        if self.period == period { self.calls } else { 0 }
    }

    /// Counts a call in a period, the current one.
    pub fn count(&mut self, period: u64) {
        self.calls = self.in_period(period) + 1;
        self.period = period;
    }
}

/// The statement of an upstream, in a response, that it is leaving.
///
/// It outlasts the row of the upstream, whose entry in the list may expire and return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingNotice {
    /// Start of the process that is leaving, in Unix time; 0 if unknown.
    pub started_unix_ms: u64,
}

/// An attempt that runs on an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningAttempt {
    /// Upstream that runs it.
    pub upstream: UpstreamName,
    /// Pool that placed it.
    pub pool: PoolKey,
    /// Entry VM of the call.
    pub vm: VmName,
    /// Account that is charged.
    pub account: Option<AccountName>,
    /// Program of the call.
    pub program: Option<ProgramKey>,
    /// Digest of the content.
    pub digest: ContentDigest,
    /// Whether it must be the only call on the upstream.
    pub is_exclusive: bool,
    /// Time at which it was placed.
    pub placed_us: u64,
    /// Estimated prefill time of the prompts before it.
    pub prefill_wait_us: u64,
    /// Tokens of its prompt that were expected in the cache.
    pub expected_cached_tokens: u64,
    /// Service that was added to the account for it.
    pub booked_service: u64,
    /// Whether it was already counted in a crash of its upstream.
    pub is_counted_in_crash: bool,
}
