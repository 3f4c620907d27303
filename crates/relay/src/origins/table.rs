//! A bounded table of the origins of streams.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::StreamOrigin;
use knapweeddale_core::tables::STREAM_LIFE_US;
use tokio::time::Instant;

/// Time for which the origin of a stream is kept after its first event.
const RETENTION: Duration = Duration::from_micros(STREAM_LIFE_US);

/// Highest number of origins that are kept; beyond it, the oldest ones are dropped.
const MAX_ORIGINS: usize = 65_536;

/// Longest request ID that is kept; the caller chooses it, and a VM keeps many of them.
const MAX_ID_BYTES: usize = 256;

/// The origin of a stream and when it was recorded last.
#[derive(Debug)]
struct Entry {
    origin: StreamOrigin,
    recorded_at: Instant,
}

/// The origins of streams by request ID, for a limited time.
#[derive(Debug, Default)]
pub(super) struct OriginTable {
    entries: HashMap<Arc<str>, Entry>,
    /// The request IDs in the order in which they were recorded; one that was recorded again
    /// stands here more than once.
    order: VecDeque<(Instant, Arc<str>)>,
}

impl OriginTable {
    /// Records the origin of a stream and drops entries that are too old or too many.
    ///
    /// Returns whether it was recorded: the origin of a stream with a longer ID stays unknown.
    pub fn insert(&mut self, request_id: &Arc<str>, origin: StreamOrigin, now: Instant) -> bool {
        if request_id.len() > MAX_ID_BYTES {
            return false;
        }
        let entry = Entry {
            origin,
            recorded_at: now,
        };
        self.entries.insert(Arc::clone(request_id), entry);
        self.order.push_back((now, Arc::clone(request_id)));
        self.drop_expired(now);
        true
    }

    /// Returns the origin of a stream if it was recorded within the retention time.
    pub fn get(&self, request_id: &str, now: Instant) -> Option<StreamOrigin> {
        let entry = self.entries.get(request_id)?;
        let is_kept = now.duration_since(entry.recorded_at) < RETENTION;
        is_kept.then(|| entry.origin.clone())
    }

    /// Drops the entries whose retention time is over, and the oldest ones beyond the limit.
    fn drop_expired(&mut self, now: Instant) {
        while let Some((recorded_at, _)) = self.order.front() {
            let is_expired = now.duration_since(*recorded_at) >= RETENTION;
            if !is_expired && self.order.len() <= MAX_ORIGINS {
                return;
            }
            self.drop_first();
        }
    }

    /// Drops the first of the recorded IDs, with its entry unless that was recorded again.
    fn drop_first(&mut self) {
        let Some((recorded_at, request_id)) = self.order.pop_front() else {
            return;
        };
        let entry = self.entries.get(&request_id);
        if entry.is_some_and(|entry| entry.recorded_at == recorded_at) {
            self.entries.remove(&request_id);
        }
    }
}
