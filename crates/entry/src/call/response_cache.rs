//! Cache of responses for calls that callers repeat.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use knapweeddale_core::{CallId, ContentDigest};
use knapweeddale_peer::CachedResponse;

use super::reply::Reply;

/// Maximum total size of cached bodies: a quarter of the memory that a VM may use for control.
const MAX_CACHED_BYTES: usize = 64 * 1024 * 1024;

/// Responses that are returned again when a caller repeats a call.
///
/// Bounded by age and by the total size of the bodies.
#[derive(Debug)]
pub(crate) struct ResponseCache {
    retention_us: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    responses: HashMap<CallId, (ContentDigest, Reply)>,
    /// Expiry times with their calls, earliest first.
    expiry: VecDeque<(u64, CallId)>,
    /// Total size of the bodies.
    bytes: usize,
}

impl ResponseCache {
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_us: retention_ms * 1_000,
            inner: Mutex::default(),
        }
    }

    /// Stores the response to a call and evicts old entries.
    pub fn insert(&self, now_us: u64, call: CallId, digest: ContentDigest, reply: Reply) {
        let mut inner = self.lock();
        inner.bytes += reply.body.len();
        inner.responses.insert(call, (digest, reply));
        inner.expiry.push_back((now_us + self.retention_us, call));
        inner.evict(now_us);
    }

    /// Returns the response to a call, or `None` if it is not cached or `digest` differs.
    pub fn get(&self, call: CallId, digest: ContentDigest) -> Option<Reply> {
        let inner = self.lock();
        let (cached_digest, reply) = inner.responses.get(&call)?;
        (*cached_digest == digest).then(|| reply.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Removes expired responses, and the oldest ones while the size limit is exceeded.
    fn evict(&mut self, now_us: u64) {
        while let Some(&(expires_us, call)) = self.expiry.front() {
            if expires_us > now_us && self.bytes <= MAX_CACHED_BYTES {
                return;
            }
            self.expiry.pop_front();
            if let Some((_, reply)) = self.responses.remove(&call) {
                self.bytes -= reply.body.len();
            }
        }
    }
}

impl From<Reply> for CachedResponse {
    fn from(reply: Reply) -> Self {
        let content_type = reply.header("content-type").unwrap_or_default().to_owned();
        Self {
            status: reply.status,
            content_type,
            body: reply.body.to_vec(),
        }
    }
}

impl From<CachedResponse> for Reply {
    fn from(response: CachedResponse) -> Self {
        Self {
            status: response.status,
            headers: vec![("content-type".to_owned(), response.content_type)],
            body: Bytes::from(response.body),
        }
    }
}
