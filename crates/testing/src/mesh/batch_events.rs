//! Connects the batching engines to the events of the mesh.

use knapweeddale_core::{AttemptEvent, Input, UpstreamName};

use super::batch::BatchModel;
use super::{Event, Mesh};

/// # Batching engines
impl Mesh {
    /// Replaces the simple engines by engines with continuous batching and prefix caches.
    pub fn use_batches(&mut self, model: BatchModel) {
        self.engines.use_batches(model);
        self.report_load();
    }

    /// Advances a batching engine to the current time and schedules its next event.
    pub(super) fn run_engine(&mut self, upstream: &UpstreamName) {
        let (events, next_us) = self.engines.advance(self.now_us, upstream);
        for (at_us, attempt, progress) in events {
            if let Some(vm) = self.entry_vm(attempt.call) {
                let event = AttemptEvent { attempt, progress };
                self.deliver(vm, at_us.max(self.now_us), Input::Attempt(event));
            }
        }
        if let Some(at_us) = next_us {
            let upstream = upstream.clone();
            self.schedule(at_us.max(self.now_us + 1), Event::Engine { upstream });
        }
    }

    /// Sends the load of each batching engine to all VMs, delayed by one report interval.
    pub(super) fn report_load(&mut self) {
        let Some(report_us) = self.engines.report_us() else {
            return;
        };
        for upstream in self.engines.batch_upstreams() {
            self.run_engine(&upstream);
        }
        for (upstream, running_calls, tokens_per_s) in self.engines.take_loads() {
            for vm in 0..self.vms.len() {
                let load = Input::Load {
                    upstream: upstream.clone(),
                    running_calls,
                    tokens_per_s,
                };
                self.deliver(vm, self.now_us + report_us, load);
            }
        }
        self.schedule(self.now_us + report_us, Event::Load);
    }
}
