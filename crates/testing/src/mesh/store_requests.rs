//! Carries requests from VMs to the store and its responses back.

use knapweeddale_core::{Incarnation, Input, StoreEvent, StoreRequest};

use super::{Event, Mesh};

/// # Store
impl Mesh {
    /// Sends a request to the store, which it reaches after 1 to 4 ms.
    pub(super) fn send_store_request(&mut self, vm: usize, request: StoreRequest) {
        let event = Event::Store {
            vm,
            incarnation: self.vms[vm].incarnation,
            sent_us: self.local_us(vm),
            request,
            is_late: false,
        };
        let delay_us = self.random.between(1_000, 4_000);
        self.schedule(self.now_us + delay_us, event);
    }

    /// Executes a request that reached the store and sends the response back.
    pub(super) fn handle_store_request(
        &mut self,
        vm: usize,
        incarnation: Incarnation,
        sent_us: u64,
        request: StoreRequest,
        is_late: bool,
    ) {
        if !is_late && self.random.per_mille(self.store.late_per_mille) {
            let at_us = self.now_us + self.random.between(1, self.store.latest_us);
            let late = Event::Store {
                vm,
                incarnation,
                sent_us,
                request,
                is_late: true,
            };
            self.schedule(at_us, late);
            let event = Event::Input {
                vm,
                incarnation,
                input: Box::new(Input::Store(StoreEvent::Unavailable)),
            };
            self.schedule(self.now_us + self.store.timeout_us, event);
            return;
        }
        let response = self.store.handle(vm, request, sent_us, &mut self.random);
        if is_late {
            return;
        }
        let delay_us = match response {
            StoreEvent::Unavailable => self.store.timeout_us,
            _ => self.random.between(1_000, 4_000),
        };
        let event = Event::Input {
            vm,
            incarnation,
            input: Box::new(Input::Store(response)),
        };
        self.schedule(self.now_us + delay_us, event);
    }
}
