//! Simulates the view object in the platform's store.

use std::collections::HashSet;

use knapweeddale_core::input::StoredView;
use knapweeddale_core::tables::View;
use knapweeddale_core::{StoreEvent, StoreRequest};

use crate::Random;

/// The view object in the platform's store and the faults injected into the store.
#[derive(Debug, Clone)]
pub struct ViewStore {
    /// The current object; `None` until the first write.
    pub stored: Option<StoredView>,
    /// Whether the store is unavailable to all VMs.
    pub is_down: bool,
    /// VMs that cannot reach the store.
    pub isolated: HashSet<usize>,
    /// Responses lost per 1,000 requests, after a write has taken effect.
    pub lost_responses_per_mille: u64,
    /// Requests per 1,000 whose response is replaced by a timeout and that take effect late.
    pub late_per_mille: u64,
    /// Maximum delay of a late request.
    pub latest_us: u64,
    /// Time after which a VM's request to the store times out.
    pub timeout_us: u64,
    /// Number of requests that reached the store, failed ones included.
    pub requests: u64,
}

impl Default for ViewStore {
    fn default() -> Self {
        Self {
            stored: None,
            is_down: false,
            isolated: HashSet::new(),
            lost_responses_per_mille: 0,
            late_per_mille: 0,
            latest_us: 10_000_000,
            timeout_us: 500_000,
            requests: 0,
        }
    }
}

impl ViewStore {
    /// Executes a request and returns its response, or `Unavailable` on an injected fault.
    pub(super) fn handle(
        &mut self,
        vm: usize,
        request: StoreRequest,
        sent_us: u64,
        random: &mut Random,
    ) -> StoreEvent {
        self.requests += 1;
        if self.is_down || self.isolated.contains(&vm) {
            return StoreEvent::Unavailable;
        }
        let response = match request {
            StoreRequest::Read => StoreEvent::ViewRead(self.stored.clone()),
            StoreRequest::Write {
                view,
                expected_version,
            } => self
                .put(view, expected_version)
                .map_or(StoreEvent::Conflict, StoreEvent::ViewWritten),
            StoreRequest::Touch {
                view,
                expected_version,
            } => self
                .put(view, expected_version)
                .map_or(StoreEvent::Conflict, |stored| StoreEvent::ViewTouched {
                    version: stored.version,
                    sent_us,
                }),
        };
        if random.per_mille(self.lost_responses_per_mille) {
            return StoreEvent::Unavailable;
        }
        response
    }

    /// Writes the object if it has the expected version; returns `None` otherwise.
    fn put(&mut self, view: View, expected_version: u64) -> Option<StoredView> {
        let version = self.stored.as_ref().map_or(0, |stored| stored.version);
        if version != expected_version {
            return None;
        }
        let version = version + 1;
        self.stored = Some(StoredView { view, version });
        self.stored.clone()
    }
}
