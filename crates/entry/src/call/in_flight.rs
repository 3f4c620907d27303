//! Tracking of calls in flight.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use knapweeddale_core::CallId;
use tokio::sync::Notify;

/// The calls whose response has not been sent to the caller completely.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlight(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    calls: Mutex<BTreeSet<CallId>>,
    emptied: Notify,
}

impl InFlight {
    /// Adds a call, which counts as in flight until the guard is dropped.
    pub fn register(&self, call: CallId) -> InFlightGuard {
        self.0.lock().insert(call);
        InFlightGuard {
            inner: Arc::clone(&self.0),
            call,
        }
    }

    /// Returns the IDs of the calls in flight.
    pub fn calls(&self) -> Vec<CallId> {
        self.0.lock().iter().copied().collect()
    }

    /// Waits until no call is in flight.
    pub async fn wait_until_empty(&self) {
        loop {
            let emptied = self.0.emptied.notified();
            if self.0.lock().is_empty() {
                return;
            }
            emptied.await;
        }
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, BTreeSet<CallId>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks a call as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    inner: Arc<Inner>,
    call: CallId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut calls = self.inner.lock();
        calls.remove(&self.call);
        if calls.is_empty() {
            self.inner.emptied.notify_waiters();
        }
    }
}
