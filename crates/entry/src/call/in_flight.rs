//! Calls that are not answered completely.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use knapweeddale_core::CallId;
use tokio::sync::Notify;

/// The calls whose response has not been handed to the caller completely.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlight(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    calls: Mutex<BTreeSet<CallId>>,
    emptied: Notify,
}

impl InFlight {
    /// Adds a call until the guard is dropped.
    pub fn register(&self, call: CallId) -> InFlightGuard {
        self.0.lock().insert(call);
        InFlightGuard {
            inner: Arc::clone(&self.0),
            call,
        }
    }

    /// Returns the calls.
    pub fn calls(&self) -> Vec<CallId> {
        self.0.lock().iter().copied().collect()
    }

    /// Waits until there is no call.
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

/// Keeps a call among those in flight.
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
