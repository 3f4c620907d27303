//! Object API wrapper that counts calls.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::{Object, ObjectApi, ObjectMeta, StoreError, VmEntry};

/// Forwards calls to an object API and counts them.
#[derive(Debug)]
pub struct CountingApi<A> {
    api: A,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    failures: AtomicU64,
}

/// Number of calls by kind since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Reads of an object, of a list of keys or of the list of VMs.
    pub reads: u64,
    /// Writes of an object, also those that were refused.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Calls that failed because the store was unavailable.
    pub failures: u64,
}

impl<A> CountingApi<A> {
    /// Wraps an API; all counts start at 0.
    pub fn new(api: A) -> Self {
        Self {
            api,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            failures: AtomicU64::new(0),
        }
    }

    /// Returns the current counts.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
        }
    }

    /// Counts a result that is [`StoreError::Unavailable`] and returns it unchanged.
    fn record_failure<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        if matches!(result, Err(StoreError::Unavailable { .. })) {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

impl<A: ObjectApi> ObjectApi for CountingApi<A> {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.record_failure(self.api.get(key).await)
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected_version: u64,
    ) -> Result<u64, StoreError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.record_failure(self.api.put(key, value, expected_version).await)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.record_failure(self.api.list(prefix).await)
    }

    async fn watch(
        &self,
        key: &str,
        after_version: u64,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        self.record_failure(self.api.watch(key, after_version, wait).await)
    }

    async fn list_vms(&self) -> Result<Vec<VmEntry>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.record_failure(self.api.list_vms().await)
    }
}
