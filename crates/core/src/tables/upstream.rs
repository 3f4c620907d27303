//! Upstreams and what runs on them.

use std::collections::BTreeSet;
use std::sync::Arc;

use smallvec::SmallVec;

use super::{ConcurrencyLimit, Health};
use crate::config::UpstreamConfig;
use crate::ids::{
    AccountName, AttemptId, ContentDigest, ModelName, PoolKey, ProgramKey, UpstreamName, VmName,
};

/// Time per prefill token before it has been measured.
const INITIAL_PREFILL_NS_PER_TOKEN: u64 = 20_000;

/// Part of a cache hint that counts before it has been measured, in percent.
const INITIAL_HINT_ACCURACY_PERCENT: u64 = 90;

/// An upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its published settings.
    pub config: UpstreamConfig,
    /// Its address, shared with dispatches.
    pub address: Arc<str>,
    /// Models that it reports as loaded; `None` if it does not report them.
    pub loaded_models: Option<Vec<ModelName>>,
    /// Reports in a row in which no call ran on it.
    pub idle_reports: u32,
    /// The pools that it belongs to.
    pub pools: SmallVec<[PoolKey; 1]>,
    /// Attempts that this VM, as owner of a pool, has placed on it.
    pub attempts: BTreeSet<AttemptId>,
    /// Calls of other origin in the last load report.
    pub foreign_calls: u32,
    /// Most attempts at once since the last two load reports; reports lag, so
    /// attempts that have ended may still be in them.
    pub peak_calls: [u32; 2],
    /// Calls of this VM that run on it.
    pub own_calls: u32,
    /// How many calls it may run at once.
    pub limit: ConcurrencyLimit,
    /// Its failures.
    pub health: Health,
    /// Whether one call has it for itself.
    pub has_exclusive_call: bool,
    /// When the prompts placed on it so far have been read.
    pub prefill_until_us: u64,
    /// Measured time to read one prompt token.
    pub prefill_ns_per_token: u64,
    /// Measured part of the cache hints that was found, in percent.
    pub hint_accuracy_percent: u64,
    /// Mean time that a call holds a place on it.
    pub mean_call_us: u64,
    /// The load with which it is listed in the open sets of its pools.
    pub open_load_permille: Option<u64>,
}

impl Upstream {
    /// Makes the row of an upstream on which nothing runs.
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
            has_exclusive_call: false,
            prefill_until_us: 0,
            prefill_ns_per_token: INITIAL_PREFILL_NS_PER_TOKEN,
            hint_accuracy_percent: INITIAL_HINT_ACCURACY_PERCENT,
            mean_call_us: 1_000_000,
            open_load_permille: None,
            config,
        }
    }

    /// Applies new published settings; what was learned stays.
    pub fn configure(&mut self, config: UpstreamConfig) {
        self.address = Arc::from(config.address.as_str());
        self.limit
            .set_range(config.min_running_calls, config.max_running_calls);
        self.config = config;
    }

    /// Forgets what a former start of its process held.
    pub fn reset_after_restart(&mut self, now_us: u64) {
        self.health = Health::default();
        self.health.cache_valid_from_us = now_us;
        self.prefill_until_us = 0;
    }

    /// Returns whether calls of a model can run on it.
    pub fn can_run_model(&self, model: &ModelName) -> bool {
        let is_loaded = |loaded: &Vec<ModelName>| loaded.contains(model);
        self.config.models.contains(model) && self.loaded_models.as_ref().is_none_or(is_loaded)
    }

    /// Returns the calls that run on it, of all origins.
    pub fn running_calls(&self) -> u32 {
        self.attempts.len() as u32 + self.foreign_calls
    }

    /// Returns how many calls it may run at once.
    pub fn limit_calls(&self, is_learned: bool) -> u32 {
        if is_learned {
            self.limit.calls
        } else {
            self.limit.max
        }
    }

    /// Returns whether it may get new calls at all.
    pub fn is_usable(&self, now_us: u64) -> bool {
        !self.config.leaving && self.health.is_ready(now_us)
    }

    /// Returns whether it may get one more call.
    pub fn has_room(&self, now_us: u64, is_learned: bool) -> bool {
        self.is_usable(now_us)
            && !self.has_exclusive_call
            && self.running_calls() < self.limit_calls(is_learned)
    }
}

/// An attempt that runs on an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The pool that placed it.
    pub pool: PoolKey,
    /// The entry VM of the call.
    pub vm: VmName,
    /// The account that is charged.
    pub account: Option<AccountName>,
    /// The program.
    pub program: Option<ProgramKey>,
    /// The content.
    pub digest: ContentDigest,
    /// Whether it has the upstream for itself.
    pub is_exclusive: bool,
    /// When it was placed.
    pub placed_us: u64,
    /// Prompts that were read before it, in prefill time.
    pub prefill_wait_us: u64,
    /// Tokens that were expected in the cache.
    pub expected_cached_tokens: u64,
    /// Service booked for the account.
    pub booked_service: u64,
    /// Whether it was already counted in a crash of its upstream.
    pub is_counted_in_crash: bool,
}
