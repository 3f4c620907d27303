//! The view object of the platform's store.

use std::collections::HashSet;

use knapweeddale_core::input::StoredView;
use knapweeddale_core::tables::View;
use knapweeddale_core::{StoreEvent, StoreRequest};

use crate::Random;

/// The view object of the platform's store, with its faults.
#[derive(Debug, Clone)]
pub struct ViewStore {
    /// The present object.
    pub stored: Option<StoredView>,
    /// Whether the store answers nobody.
    pub is_down: bool,
    /// VMs that cannot reach the store.
    pub cut_off: HashSet<usize>,
    /// Answers lost after the write took effect, of 1,000.
    pub lost_answers_per_mille: u64,
    /// Requests that take effect only after the VM has given up waiting, of 1,000.
    pub late_per_mille: u64,
    /// How late such a request takes effect at most.
    pub latest_us: u64,
    /// Time after which a VM gives up waiting.
    pub timeout_us: u64,
    /// Requests that were sent to the store.
    pub requests: u64,
}

impl Default for ViewStore {
    fn default() -> Self {
        Self {
            stored: None,
            is_down: false,
            cut_off: HashSet::new(),
            lost_answers_per_mille: 0,
            late_per_mille: 0,
            latest_us: 10_000_000,
            timeout_us: 500_000,
            requests: 0,
        }
    }
}

impl ViewStore {
    /// Handles a request.
    pub(super) fn handle(
        &mut self,
        vm: usize,
        request: StoreRequest,
        sent_us: u64,
        random: &mut Random,
    ) -> StoreEvent {
        self.requests += 1;
        if self.is_down || self.cut_off.contains(&vm) {
            return StoreEvent::Unavailable;
        }
        let answer = match request {
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
        if random.per_mille(self.lost_answers_per_mille) {
            return StoreEvent::Unavailable;
        }
        answer
    }

    /// Writes the object if it has the expected version.
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
