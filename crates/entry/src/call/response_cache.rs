//! Responses kept for resends.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use knapweeddale_core::{CallId, ContentDigest};
use knapweeddale_peer::KeptAnswer;

use super::reply::Reply;

/// Bytes of all kept responses; a quarter of what a VM may use for control.
const MAX_CACHED_BYTES: usize = 64 * 1024 * 1024;

/// Responses kept for resends, for a limited time and up to a limited size.
#[derive(Debug)]
pub(crate) struct ResponseCache {
    retention_us: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    responses: HashMap<CallId, (ContentDigest, Reply)>,
    /// Calls in the order in which they expire.
    expiry: VecDeque<(u64, CallId)>,
    bytes: usize,
}

impl ResponseCache {
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_us: retention_ms * 1_000,
            inner: Mutex::default(),
        }
    }

    /// Keeps the response of a call.
    pub fn insert(&self, now_us: u64, call: CallId, digest: ContentDigest, reply: Reply) {
        let mut inner = self.lock();
        inner.bytes += reply.body.len();
        inner.responses.insert(call, (digest, reply));
        inner.expiry.push_back((now_us + self.retention_us, call));
        inner.evict(now_us);
    }

    /// Returns the response of a call whose content had this digest.
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
    /// Drops responses that have expired or exceed the size.
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

impl From<Reply> for KeptAnswer {
    fn from(reply: Reply) -> Self {
        let content_type = reply.header("content-type").unwrap_or_default().to_owned();
        Self {
            status: reply.status,
            content_type,
            body: reply.body.to_vec(),
        }
    }
}

impl From<KeptAnswer> for Reply {
    fn from(answer: KeptAnswer) -> Self {
        Self {
            status: answer.status,
            headers: vec![("content-type".to_owned(), answer.content_type)],
            body: Bytes::from(answer.body),
        }
    }
}
