//! Pools: the upstreams of one service and model, with their queue.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    DeadlineOrder, PeriodCount, PoolSpeed, PoolTimes, Queue, QueuedCall, RetryBudget, SpeedMeans,
};
use crate::ids::{AttemptId, ContentDigest, UpstreamName};

/// The upstreams of one service and model, with their queue.
#[derive(Debug, Default)]
pub struct Pool {
    /// The upstreams that can run its calls.
    pub upstreams: Vec<UpstreamName>,
    /// Upstreams with room for a call, by load in thousandths of their limit.
    pub available: BTreeSet<(u64, UpstreamName)>,
    /// Upstreams that are ejected because of failures.
    pub ejected: BTreeSet<UpstreamName>,
    /// Calls that wait for an upstream.
    pub queue: Queue,
    /// Calls held back because their content was in a crash, while another call with it runs or the
    /// crash is examined.
    pub held: BTreeMap<ContentDigest, VecDeque<QueuedCall>>,
    /// Calls whose content was in two crashes; each must be the only call on its upstream.
    pub exclusive: VecDeque<QueuedCall>,
    /// Upstreams kept free for a call that must be the only one there.
    pub reserved: BTreeSet<UpstreamName>,
    /// Retry budget for the calls of this VM.
    pub retry_budget: RetryBudget,
    /// Times of calls at upstreams that are not paced.
    pub times: PoolTimes,
    /// Moving average of the tokens of a response.
    pub mean_answer_tokens: u64,
    /// Measured times of its calls.
    pub speed: PoolSpeed,
    /// State of the order by deadlines, if its calls state some.
    pub deadlines: DeadlineOrder,
    /// Speed of its upstreams, all together.
    pub speed_means: SpeedMeans,
    /// Calls that this VM has placed in the current period of shared places.
    pub placed: PeriodCount,
    /// Calls that wait because this VM's share of the places is used up.
    pub claim_waiting_calls: usize,
    /// Time of the last log line about a used-up share of the places.
    pub claim_logged_us: u64,
    /// Index of the next upstream for round-robin placement.
    pub next_round_robin: usize,
}

impl Pool {
    /// Returns whether a call waits in the queue, is held back or waits for an exclusive run.
    pub fn is_waiting(&self, attempt: &AttemptId) -> bool {
        let is_same = |waiting: &QueuedCall| waiting.place.attempt == *attempt;
        self.queue.get(attempt).is_some()
            || self.exclusive.iter().any(is_same)
            || self.held.values().flatten().any(is_same)
    }

    /// Removes a waiting call and returns it.
    pub fn remove_waiting(&mut self, attempt: AttemptId) -> Option<QueuedCall> {
        let removed = self.queue.remove(attempt).or_else(|| {
            let held = self.held.values_mut();
            std::iter::once(&mut self.exclusive)
                .chain(held)
                .find_map(|calls| take(calls, attempt))
        });
        self.held.retain(|_, held| !held.is_empty());
        removed
    }

    /// Iterates over all waiting calls.
    pub fn iter_waiting(&self) -> impl Iterator<Item = &QueuedCall> {
        let held = self.held.values().flatten();
        self.queue.iter().chain(&self.exclusive).chain(held)
    }
}

/// Removes an attempt from waiting calls and returns it.
fn take(calls: &mut VecDeque<QueuedCall>, attempt: AttemptId) -> Option<QueuedCall> {
    let mut rows = calls.iter();
    let position = rows.position(|waiting| waiting.place.attempt == attempt)?;
    calls.remove(position)
}
