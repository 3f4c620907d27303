//! Dispatches the outputs of VMs to their receivers.

use knapweeddale_core::{
    AttemptEvent, CallId, Dispatch, Input, Output, PeerMessage, ProgramKey, UpstreamName, VmName,
};

use super::{LoseNext, Mesh, TraceEvent, estimated_bytes};

/// # Outputs
impl Mesh {
    /// Records an output of a VM in the trace and dispatches it to its receiver.
    pub(super) fn carry(&mut self, vm: usize, output: Output) {
        let name = self.vms[vm].name.clone();
        self.trace.output(self.now_us, &name, &output);
        match output {
            Output::Send { to, message } => self.send(vm, &to, message),
            Output::Dispatch(dispatch) => self.dispatch(vm, dispatch),
            Output::Order(order) => self.send_order(vm, *order),
            Output::CancelAttempt(attempt) => self.engines.cancel(attempt),
            Output::Store(request) => self.ask_store(vm, request),
            Output::ReleaseMemory {
                upstream,
                program,
                generation,
            } => self.release(vm, upstream, program, generation),
            Output::Probe(upstream) => {
                let state = self.engines.probe(self.now_us, &upstream);
                let probed = Input::Probed { upstream, state };
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
        let loses = |(is_lost, left): &mut LoseNext| {
            let is_hit = *left > 0 && is_lost(&message);
            *left -= u32::from(is_hit);
            is_hit
        };
        if self.lose_next.iter_mut().any(loses) {
            return;
        }
        for delay_us in self.faults.deliveries(&mut self.random) {
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
        if self.is_silent(&upstream) {
            return;
        }
        let released = TraceEvent::Released {
            upstream: upstream.clone(),
            program: program.clone(),
            generation,
        };
        self.trace.push(self.now_us, released);
        for delay_us in self.faults.deliveries(&mut self.random) {
            let input = Input::ReleaseConfirmed {
                upstream: upstream.clone(),
                program: program.clone(),
                generation,
            };
            self.deliver(vm, self.now_us + delay_us, input);
        }
    }

    /// Returns whether an engine ignores requests to release memory.
    pub(super) fn is_silent(&self, upstream: &UpstreamName) -> bool {
        self.engines.silent.contains(upstream)
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
            let Some(owner) = self.vm_of(attempt.call) else {
                continue;
            };
            let event = AttemptEvent { attempt, progress };
            self.deliver(owner, at_us, Input::Attempt(event));
        }
    }

    /// Returns the entry VM of a call; `None` if it has restarted since.
    pub(super) fn vm_of(&self, call: CallId) -> Option<usize> {
        self.vms
            .iter()
            .position(|vm| vm.incarnation == call.incarnation)
    }
}
