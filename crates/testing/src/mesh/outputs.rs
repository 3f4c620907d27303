//! Dispatches the outputs of VMs to their receivers.

use knapweeddale_core::{
    AttemptEvent, CallId, Dispatch, Input, Output, PeerMessage, ProgramKey, UpstreamName, VmName,
};

use super::{DropRule, Mesh, TraceEvent, estimated_bytes};

/// # Outputs
impl Mesh {
    /// Records an output of a VM in the trace and dispatches it to its receiver.
    pub(super) fn handle_output(&mut self, vm: usize, output: Output) {
        let name = self.vms[vm].name.clone();
        self.trace.record_output(self.now_us, &name, &output);
        match output {
            Output::Send { to, message } => self.send(vm, &to, message),
            Output::Dispatch(dispatch) => self.dispatch(vm, dispatch),
            Output::Order(order) => self.send_order(vm, *order),
            Output::CancelAttempt(attempt) => self.engines.cancel(attempt),
            Output::Store(request) => self.send_store_request(vm, request),
            Output::ReleaseMemory {
                upstream,
                program,
                generation,
            } => self.release(vm, upstream, program, generation),
            Output::Probe { upstream, .. } => {
                let state = self.engines.probe(self.now_us, &upstream);
                let probed = Input::Probed {
                    upstream,
                    proxy: None,
                    state,
                };
                self.deliver(vm, self.now_us + 1_000, probed);
            }
            _ => {}
        }
    }

    /// Sends a message from one VM to another, subject to partitions, drop rules and link faults.
    pub(super) fn send(&mut self, from: usize, to: &VmName, message: PeerMessage) {
        let Some(to) = self.index(to) else {
            return;
        };
        let bytes = estimated_bytes(&message);
        self.vms[from].traffic.sent_messages += 1;
        self.vms[from].traffic.sent_bytes += bytes;
        if self.blocked.contains(&(from, to)) {
            return;
        }
        let drops = |(matches, remaining): &mut DropRule| {
            let is_dropped = *remaining > 0 && matches(&message);
            *remaining -= u32::from(is_dropped);
            is_dropped
        };
        if self.drop_rules.iter_mut().any(drops) {
            return;
        }
        for delay_us in self.faults.delivery_delays_us(&mut self.random) {
            let input = Input::Peer {
                from: self.vms[from].name.clone(),
                incarnation: self.vms[from].incarnation,
                message: message.clone(),
            };
            self.vms[to].traffic.received_messages += 1;
            self.vms[to].traffic.received_bytes += bytes;
            self.deliver(to, self.now_us + delay_us, input);
        }
    }

    /// Releases a program's memory on an engine; the confirmation is subject to link faults.
    pub(super) fn release(
        &mut self,
        vm: usize,
        upstream: UpstreamName,
        program: ProgramKey,
        generation: u64,
    ) {
        if self.ignores_releases(&upstream) {
            return;
        }
        let released = TraceEvent::Released {
            upstream: upstream.clone(),
            program: program.clone(),
            generation,
        };
        self.trace.push(self.now_us, released);
        for delay_us in self.faults.delivery_delays_us(&mut self.random) {
            let input = Input::ReleaseConfirmed {
                upstream: upstream.clone(),
                program: program.clone(),
                generation,
            };
            self.deliver(vm, self.now_us + delay_us, input);
        }
    }

    /// Returns whether an engine ignores requests to release memory.
    pub(super) fn ignores_releases(&self, upstream: &UpstreamName) -> bool {
        self.engines.ignoring_releases.contains(upstream)
    }

    /// Runs an attempt on its upstream.
    pub(super) fn dispatch(&mut self, vm: usize, dispatch: Dispatch) {
        let local_us = self.local_us(vm);
        let call = self.vms[vm]
            .control
            .as_ref()
            .and_then(|control| control.tables().calls.get(&dispatch.attempt.call))
            .cloned();
        let Some(call) = call else {
            return;
        };
        if self.engines.has_batches() {
            // The engine must be at the current time before a request is enqueued.
            self.run_engine(&dispatch.upstream);
        }
        let run = self.engines.run(self.now_us, local_us, &dispatch, &call);
        if self.engines.has_batches() {
            self.run_engine(&dispatch.upstream);
        }
        if run.executed {
            let executed = TraceEvent::Executed {
                vm: self.vms[vm].name.clone(),
                dispatch: Box::new(dispatch.clone()),
                call: Box::new(call.request.clone()),
            };
            self.trace.push(self.now_us, executed);
        }
        for (at_us, attempt, progress) in run.events {
            let Some(owner) = self.entry_vm(attempt.call) else {
                continue;
            };
            let event = AttemptEvent { attempt, progress };
            self.deliver(owner, at_us, Input::Attempt(event));
        }
    }

    /// Returns the entry VM of a call; `None` if it has restarted since.
    pub(super) fn entry_vm(&self, call: CallId) -> Option<usize> {
        self.vms
            .iter()
            .position(|vm| vm.incarnation == call.incarnation)
    }
}
