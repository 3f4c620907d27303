//! Placement of a program's calls so far, recorded by the owners of pools.

use smallvec::SmallVec;

use crate::ids::UpstreamName;

/// Upper bound of the accuracy of a hint, in percent: an engine may evict a prefix at any time
/// and reports it late.
const MAX_HINT_ACCURACY_PERCENT: u64 = 95;

/// Placement of a program's calls so far, recorded by the owners of pools.
#[derive(Debug, Clone, Default)]
pub struct PlacementHistory {
    /// Tokens of all calls of the program and its sub-agents; counted in the row of the root only.
    pub attained_tokens: u64,
    /// Time of the last call of the program.
    pub last_used_us: u64,
    /// Upstreams that may have the program's prefix in their cache, most recent first.
    pub hints: SmallVec<[CacheHint; 2]>,
}

/// An upstream that may have a prefix of a program in its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheHint {
    /// Upstream that ran the call.
    pub upstream: UpstreamName,
    /// Length of the prefix in tokens when the last call there ended.
    pub tokens: u64,
    /// Time at which the last call there ended.
    pub ended_us: u64,
}

impl PlacementHistory {
    /// Records the upstream that ran the last call; only the last two upstreams are kept.
    pub fn record_hint(&mut self, hint: CacheHint) {
        self.hints.retain(|old| old.upstream != hint.upstream);
        self.hints.insert(0, hint);
        self.hints.truncate(2);
    }
}

impl CacheHint {
    /// Estimates the tokens that are still cached; the estimate halves with each half-life.
    ///
    /// # Examples
    ///
    /// ```
    /// use knapweeddale_core::UpstreamName;
    /// use knapweeddale_core::tables::CacheHint;
    ///
    /// let hint = CacheHint { upstream: UpstreamName::from("e"), tokens: 1_000, ended_us: 0 };
    /// assert_eq!(hint.expected_cached_tokens(0, 60_000_000, 100), 950);
    /// assert_eq!(hint.expected_cached_tokens(60_000_000, 60_000_000, 100), 475);
    /// ```
    pub fn expected_cached_tokens(
        &self,
        now_us: u64,
        half_life_us: u64,
        accuracy_percent: u64,
    ) -> u64 {
        let expected = self.tokens * accuracy_percent.min(MAX_HINT_ACCURACY_PERCENT) / 100;
        let age_us = now_us.saturating_sub(self.ended_us);
        let half_life_us = half_life_us.max(1);
        let halvings = age_us / half_life_us;
        if halvings >= 32 {
            return 0;
        }
        // Linear between halvings; the estimate is too rough for more.
        let at_halving = expected >> halvings;
        let rest_us = age_us % half_life_us;
        at_halving - (at_halving / 2) * rest_us / half_life_us
    }
}
