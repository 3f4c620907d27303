//! Pools: the upstreams of one service and model, with their queue.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{Queue, QueuedCall, RetryBudget};
use crate::ids::{AttemptId, ContentDigest, UpstreamName};

/// The upstreams of one service and model, with their queue.
#[derive(Debug, Default)]
pub struct Pool {
    /// The upstreams that can run its calls.
    pub upstreams: Vec<UpstreamName>,
    /// Upstreams with room for a call, by load in thousandths of their limit.
    pub available: BTreeSet<(u64, UpstreamName)>,
    /// Upstreams that are excluded for their failures.
    pub ejected: BTreeSet<UpstreamName>,
    /// Calls that wait for an upstream.
    pub queue: Queue,
    /// Calls whose content was in a crash, while a copy runs or the crash is examined.
    pub held: BTreeMap<ContentDigest, VecDeque<QueuedCall>>,
    /// Calls whose content was in two crashes; they run alone on an upstream.
    pub exclusive: VecDeque<QueuedCall>,
    /// Upstreams kept free for a call that runs alone.
    pub reserved: BTreeSet<UpstreamName>,
    /// What retries the calls of this VM may still use.
    pub retry_budget: RetryBudget,
    /// Mean tokens of a response.
    pub mean_answer_tokens: u64,
    /// The position of the next upstream, for placement in turn.
    pub next_round_robin: usize,
}

impl Pool {
    /// Returns whether a call waits here in any way.
    pub fn is_waiting(&self, attempt: &AttemptId) -> bool {
        let is_it = |waiting: &QueuedCall| waiting.place.attempt == *attempt;
        self.queue.get(attempt).is_some()
            || self.exclusive.iter().any(is_it)
            || self.held.values().flatten().any(is_it)
    }

    /// Removes a call that waits.
    pub fn remove_waiting(&mut self, attempt: AttemptId) {
        let is_other = |waiting: &QueuedCall| waiting.place.attempt != attempt;
        if self.queue.remove(attempt).is_some() {
            return;
        }
        self.exclusive.retain(is_other);
        for held in self.held.values_mut() {
            held.retain(is_other);
        }
        self.held.retain(|_, held| !held.is_empty());
    }

    /// Returns all calls that wait here.
    pub fn iter_waiting(&self) -> impl Iterator<Item = &QueuedCall> {
        let held = self.held.values().flatten();
        self.queue.iter().chain(&self.exclusive).chain(held)
    }
}
