//! Dispatch of the core's outputs to the tasks that execute them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use knapweeddale_core::input::{AttemptProgress, Failure, OrderResult};
use knapweeddale_core::output::Order;
use knapweeddale_core::tables::View;
use knapweeddale_core::{
    AttemptEvent, CallId, Charge, Control, Decision, Input, Output, StoreEvent, VmName,
};
use knapweeddale_peer::Peers;
use knapweeddale_runtime::{ProbeRequest, request_probe};
use tokio::sync::{mpsc, watch};

use super::input::{CallOutput, Message};
use super::status::Status;
use crate::metrics::Metrics;
use crate::store::ViewRequest;
use crate::upstream::ReleaseRequest;

/// Maximum number of addresses of VMs outside the view; more than join or leave at once.
const MAX_NON_MEMBER_ADDRESSES: usize = 64;

/// Dispatches the core's outputs to their receivers over bounded queues, without blocking.
#[derive(Debug)]
pub(crate) struct OutputDispatcher {
    pub vm: VmName,
    pub peers: Peers,
    pub view_requests: mpsc::Sender<ViewRequest>,
    pub release_requests: mpsc::Sender<ReleaseRequest>,
    pub probe_requests: mpsc::Sender<ProbeRequest>,
    pub model_orders: mpsc::Sender<Order>,
    pub charges: mpsc::Sender<Charge>,
    pub status: watch::Sender<Status>,
    pub lease_until_us: Arc<AtomicU64>,
    pub metrics: Arc<Metrics>,
    pub calls: HashMap<CallId, mpsc::Sender<CallOutput>>,
    /// Addresses by which VMs can be reached, also of VMs that join or leave and so are in no view.
    pub addresses: HashMap<VmName, String>,
    /// Inputs for the next tick that result from outputs which could not be delivered.
    pub pending_inputs: Vec<Input>,
}

/// # Calls
impl OutputDispatcher {
    /// Registers the channel for a call's outputs.
    pub fn open_call(&mut self, call: CallId, outputs: mpsc::Sender<CallOutput>) {
        self.calls.insert(call, outputs);
    }

    /// Sends an output to the task of a call.
    ///
    /// A call never has more pending outputs than its channel holds, so a failure means that its
    /// task has ended.
    fn send_to_call(&mut self, call: CallId, output: CallOutput) {
        let Some(outputs) = self.calls.get(&call) else {
            return;
        };
        let Err(error) = outputs.try_send(output) else {
            return;
        };
        self.calls.remove(&call);
        if let CallOutput::Dispatch(dispatch) = error.into_inner() {
            let progress = AttemptProgress::Failed(Failure::NotSent);
            let attempt = dispatch.attempt;
            let event = AttemptEvent { attempt, progress };
            self.pending_inputs.push(Input::Attempt(event));
        }
    }

    /// Sends the last output to the task of a call and removes the call.
    fn close_call(&mut self, call: CallId, output: CallOutput) {
        self.send_to_call(call, output);
        self.calls.remove(&call);
    }
}

/// # Outputs
impl OutputDispatcher {
    /// Sends one output to its receiver.
    fn dispatch_output(&mut self, output: Output, control: &Control, now_us: u64) {
        match output {
            Output::Dispatch(dispatch) => {
                self.send_to_call(dispatch.attempt.call, CallOutput::Dispatch(dispatch));
            }
            Output::CancelAttempt(id) => self.send_to_call(id.call, CallOutput::Cancel(id)),
            Output::Answered(answered) => {
                self.close_call(answered.call, CallOutput::Answered(answered));
            }
            Output::Refused(refusal) => self.close_call(refusal.call, CallOutput::Refused(refusal)),
            Output::Replay {
                call,
                vm,
                original,
                continuation,
                permit,
            } => {
                let address = || self.find_address(control, &vm).unwrap_or_default();
                let peer = (vm != self.vm).then(address);
                let replay = CallOutput::Replay {
                    peer,
                    original,
                    continuation,
                    permit,
                };
                self.close_call(call, replay);
            }
            Output::PermitIssued { request, permit } => {
                self.close_call(request, CallOutput::Permit(permit));
            }
            Output::ProgramEnded { request } => self.close_call(request, CallOutput::Ended),
            Output::Send { to, message } => match self.find_address(control, &to) {
                Some(address) => self.peers.send(&to, &address, message),
                None => self.metrics.count_unaddressed(),
            },
            Output::Store(request) => {
                if self
                    .view_requests
                    .try_send(ViewRequest { request, now_us })
                    .is_err()
                {
                    self.pending_inputs
                        .push(Input::Store(StoreEvent::Unavailable));
                }
            }
            Output::ReleaseMemory {
                upstream,
                program,
                generation,
            } => {
                let address = control.tables().upstreams.get(&upstream);
                let Some(address) = address.map(|row| Arc::clone(&row.address)) else {
                    return;
                };
                // The core repeats a release that is not confirmed.
                let _ = self.release_requests.try_send(ReleaseRequest {
                    upstream,
                    address,
                    program,
                    generation,
                });
            }
            // Only under `Coordination::Peers`, which this daemon does not use.
            Output::Source(_)
            | Output::Claim { .. }
            | Output::SendSummary { .. }
            | Output::RequestSnapshot { .. } => {}
            Output::Probe { upstream, proxy } => {
                self.pending_inputs.extend(request_probe(
                    &self.probe_requests,
                    upstream,
                    proxy,
                    control,
                ));
            }
            Output::Order(order) => self.send_order(*order),
            Output::Charge(charge) => self.record_charge(charge),
            Output::Decision(decision) => self.log_decision(&decision),
        }
    }

    /// Queues an order to an engine; if the queue is full, its result is unknown.
    fn send_order(&mut self, order: Order) {
        if let Err(error) = self.model_orders.try_send(order) {
            let order = error.into_inner();
            self.pending_inputs.push(Input::OrderResult {
                upstream: order.upstream,
                token: order.token,
                result: OrderResult::Unknown,
            });
        }
    }

    /// Counts a charge and queues its record for the writer.
    fn record_charge(&mut self, charge: Charge) {
        self.metrics.count_charge(&charge);
        if let Err(error) = self.charges.try_send(charge) {
            let charge = error.into_inner();
            self.metrics.count_lost_charge();
            tracing::error!(
                "charges: lost the record of attempt {}, the queue is full",
                charge.attempt
            );
        }
    }

    /// Logs and counts a decision.
    fn log_decision(&self, decision: &Decision) {
        self.metrics.count_decision(decision);
        tracing::info!("{decision}");
    }

    /// Publishes the lease, and the status if it has changed, to traffic threads.
    fn publish(&mut self, control: &Control, now_us: u64) {
        let remaining_us = control.tables().lease.remaining_us(now_us);
        let until_us = if remaining_us == 0 {
            0
        } else {
            now_us + remaining_us
        };
        self.lease_until_us.store(until_us, Ordering::Relaxed);
        if self.status.borrow().is_current(control) {
            return;
        }
        let status = Status::from_control(control);
        self.update_addresses(&status.view);
        self.peers.retain(|vm| self.addresses.contains_key(vm));
        self.metrics.set_epoch(status.view.epoch);
        self.metrics.set_revision(status.fleet.revision);
        self.status.send_replace(status);
    }
}

/// # Control loop
impl knapweeddale_runtime::OutputHandler for OutputDispatcher {
    type Message = Message;

    fn accept_message(
        &mut self,
        message: Message,
        _control: &Control,
        _now_us: u64,
        inputs: &mut Vec<Input>,
    ) -> bool {
        match message {
            Message::Input(input) => inputs.push(input),
            Message::Open {
                call,
                input,
                outputs,
            } => {
                self.open_call(call, outputs);
                inputs.push(input);
            }
            Message::Delivery(delivery) => {
                self.record_address(&delivery.from, &delivery.address);
                let (from, incarnation) = (delivery.from, delivery.incarnation);
                let messages = delivery.messages.into_iter().map(|message| Input::Peer {
                    from: from.clone(),
                    incarnation,
                    message,
                });
                inputs.extend(messages);
            }
            Message::Stop => return false,
        }
        true
    }

    fn handle_output(&mut self, output: Output, control: &Control, now_us: u64) {
        self.dispatch_output(output, control, now_us);
    }

    fn publish_status(&mut self, control: &Control, now_us: u64) {
        self.publish(control, now_us);
    }

    fn has_pending_inputs(&self) -> bool {
        !self.pending_inputs.is_empty()
    }

    fn take_pending_inputs(&mut self) -> Vec<Input> {
        std::mem::take(&mut self.pending_inputs)
    }

    fn count_tick(&self, inputs: usize, took: Duration) {
        self.metrics.count_tick(inputs, took, self.calls.len());
    }
}

/// # Addresses
impl OutputDispatcher {
    /// Records the address of another VM.
    pub fn record_address(&mut self, vm: &VmName, address: &str) {
        if self.addresses.get(vm).is_none_or(|known| known != address) {
            self.addresses.insert(vm.clone(), address.to_owned());
        }
    }

    /// Returns the address of another VM; the view takes precedence over recorded addresses.
    fn find_address(&self, control: &Control, vm: &VmName) -> Option<String> {
        let member = control.tables().view.member(vm);
        let known = || self.addresses.get(vm).cloned();
        member.map(|row| row.address.clone()).or_else(known)
    }

    /// Records the addresses of a view; drops all others if there are too many.
    fn update_addresses(&mut self, view: &View) {
        if self.addresses.len() > 2 * view.members.len() + MAX_NON_MEMBER_ADDRESSES {
            self.addresses.clear();
        }
        for member in &view.members {
            self.record_address(&member.vm, &member.address);
        }
    }
}
