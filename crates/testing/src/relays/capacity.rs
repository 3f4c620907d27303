//! Capacity of upstreams that run few calls at once, queue some more and reject the others.

use std::collections::BTreeMap;

/// Per cent of an upstream's normal time for a call.
const NORMAL_PERCENT: u64 = 100;

/// Calls that an upstream runs at once and queues, and how fast it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamCapacity {
    /// Calls that run at once.
    pub running_calls: usize,
    /// Calls that wait for one of these places; further ones are rejected with 503.
    pub queued_calls: usize,
    /// Time of a call, in percent of the time that the call states.
    pub time_percent: u64,
}

impl UpstreamCapacity {
    /// Creates the capacity of an upstream of normal speed.
    pub fn new(running_calls: usize, queued_calls: usize) -> Self {
        Self {
            running_calls,
            queued_calls,
            time_percent: NORMAL_PERCENT,
        }
    }
}

/// An upstream of limited capacity, with the calls that it has accepted.
///
/// A cancelled call keeps its place until it would have ended.
#[derive(Debug)]
struct LimitedUpstream {
    capacity: UpstreamCapacity,
    /// Ends of the calls that run or wait, in order of time.
    ends_us: Vec<u64>,
}

/// Upstreams of limited capacity, and counts of what they did.
#[derive(Debug, Default)]
pub struct Capacities {
    upstreams: BTreeMap<String, LimitedUpstream>,
    /// Calls that arrived at such an upstream.
    pub arrivals: u64,
    /// Calls that were rejected because the upstream was full.
    pub rejections: u64,
}

impl Capacities {
    /// Sets the capacity of an upstream; calls that it has accepted keep their ends.
    pub fn set(&mut self, upstream: &str, capacity: UpstreamCapacity) {
        let row = self.upstreams.entry(upstream.to_owned());
        let empty = LimitedUpstream {
            capacity,
            ends_us: Vec::new(),
        };
        row.or_insert(empty).capacity = capacity;
    }

    /// Accepts a call and returns the time until it ends; `None` if the upstream is full.
    pub(super) fn accept(&mut self, upstream: &str, now_us: u64, run_us: u64) -> Option<u64> {
        let Some(row) = self.upstreams.get_mut(upstream) else {
            return Some(run_us);
        };
        self.arrivals += 1;
        row.ends_us.retain(|end_us| *end_us > now_us);
        let (present, places) = (row.ends_us.len(), row.capacity.running_calls);
        if present >= places + row.capacity.queued_calls {
            self.rejections += 1;
            return None;
        }
        // The call starts when all but `places - 1` of the calls before it have ended.
        let is_queued = present >= places;
        let start_us = if is_queued {
            row.ends_us[present - places]
        } else {
            now_us
        };
        let end_us = start_us + run_us * row.capacity.time_percent / NORMAL_PERCENT;
        let position = row.ends_us.partition_point(|other_us| *other_us <= end_us);
        row.ends_us.insert(position, end_us);
        Some(end_us - now_us)
    }
}
