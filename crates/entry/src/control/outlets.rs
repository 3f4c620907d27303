//! Hands the outputs of the core to those who carry them out.

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
use crate::store::ViewOrder;
use crate::upstream::ReleaseOrder;

/// Addresses of VMs that are in no view; more than join or leave at once.
const MAX_STRANGERS: usize = 64;

/// The receivers of outputs. Each has a bounded queue, and none is waited for.
#[derive(Debug)]
pub(crate) struct Outlets {
    pub vm: VmName,
    pub peers: Peers,
    pub views: mpsc::Sender<ViewOrder>,
    pub releases: mpsc::Sender<ReleaseOrder>,
    pub probes: mpsc::Sender<ProbeRequest>,
    pub orders: mpsc::Sender<Order>,
    pub charges: mpsc::Sender<Charge>,
    pub status: watch::Sender<Status>,
    pub lease_until_us: Arc<AtomicU64>,
    pub metrics: Arc<Metrics>,
    pub calls: HashMap<CallId, mpsc::Sender<CallOutput>>,
    /// Addresses as other VMs stated them; those that join or leave are in no view.
    pub addresses: HashMap<VmName, String>,
    /// Inputs that follow from outputs which could not be handed over.
    pub echo: Vec<Input>,
}

/// # Calls
impl Outlets {
    /// Registers the receiver of a call's outputs.
    pub fn open(&mut self, call: CallId, outputs: mpsc::Sender<CallOutput>) {
        self.calls.insert(call, outputs);
    }

    /// Hands an output to a call. A call never has more outputs waiting than
    /// its channel holds, so a failure means that its task has ended.
    fn hand(&mut self, call: CallId, output: CallOutput) {
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
            self.echo.push(Input::Attempt(event));
        }
    }

    /// Hands the last output to a call.
    fn close(&mut self, call: CallId, output: CallOutput) {
        self.hand(call, output);
        self.calls.remove(&call);
    }
}

/// # Outputs
impl Outlets {
    /// Carries one output to its receiver.
    fn hand_over(&mut self, output: Output, control: &Control, now_us: u64) {
        match output {
            Output::Dispatch(dispatch) => {
                self.hand(dispatch.attempt.call, CallOutput::Dispatch(dispatch));
            }
            Output::CancelAttempt(attempt) => self.hand(attempt.call, CallOutput::Cancel(attempt)),
            Output::Answered(answered) => {
                self.close(answered.call, CallOutput::Answered(answered));
            }
            Output::Refused(refusal) => self.close(refusal.call, CallOutput::Refused(refusal)),
            Output::Replay {
                call,
                vm,
                original,
                continuation,
                permit,
            } => {
                let address = || self.address_of(control, &vm).unwrap_or_default();
                let peer = (vm != self.vm).then(address);
                let replay = CallOutput::Replay {
                    peer,
                    original,
                    continuation,
                    permit,
                };
                self.close(call, replay);
            }
            Output::PermitIssued { request, permit } => {
                self.close(request, CallOutput::Permit(permit));
            }
            Output::ProgramEnded { request } => self.close(request, CallOutput::Ended),
            Output::Send { to, message } => match self.address_of(control, &to) {
                Some(address) => self.peers.send(&to, &address, message),
                None => self.metrics.count_unaddressed(),
            },
            Output::Store(request) => {
                if self.views.try_send(ViewOrder { request, now_us }).is_err() {
                    self.echo.push(Input::Store(StoreEvent::Unavailable));
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
                let _ = self.releases.try_send(ReleaseOrder {
                    upstream,
                    address,
                    program,
                    generation,
                });
            }
            // Only under `Coordination::Peers`, which this daemon does not use.
            Output::Source(_) | Output::SendSummary { .. } | Output::AskSnapshot { .. } => {}
            Output::Probe(upstream) => {
                self.echo
                    .extend(request_probe(&self.probes, upstream, control));
            }
            Output::Order(order) => self.order(*order),
            Output::Charge(charge) => self.charge(charge),
            Output::Decision(decision) => self.log(&decision),
        }
    }

    /// Sends an order on its way; one that cannot be sent counts as unanswered.
    fn order(&mut self, order: Order) {
        if let Err(error) = self.orders.try_send(order) {
            let order = error.into_inner();
            self.echo.push(Input::OrderResult {
                upstream: order.upstream,
                token: order.token,
                result: OrderResult::Unknown,
            });
        }
    }

    /// Keeps a charge record.
    fn charge(&mut self, charge: Charge) {
        self.metrics.count_charge(&charge);
        if let Err(error) = self.charges.try_send(charge) {
            let charge = error.into_inner();
            self.metrics.count_lost_charge();
            tracing::error!("charges: lost the record of attempt {}", charge.attempt);
        }
    }

    /// Logs a decision.
    fn log(&self, decision: &Decision) {
        self.metrics.count_decision(decision);
        tracing::info!("{decision}");
    }

    /// Publishes what traffic threads may know.
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
        let status = Status::of(control);
        self.forget_addresses(&status.view);
        self.peers.retain(|vm| self.addresses.contains_key(vm));
        self.metrics.set_epoch(status.view.epoch);
        self.metrics.set_revision(status.fleet.revision);
        self.status.send_replace(status);
    }
}

/// # Loop
impl knapweeddale_runtime::OutputHandler for Outlets {
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
                self.open(call, outputs);
                inputs.push(input);
            }
            Message::Delivery(delivery) => {
                self.learn_address(&delivery.from, &delivery.address);
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
        self.hand_over(output, control, now_us);
    }

    fn publish_status(&mut self, control: &Control, now_us: u64) {
        self.publish(control, now_us);
    }

    fn has_pending_inputs(&self) -> bool {
        !self.echo.is_empty()
    }

    fn take_pending_inputs(&mut self) -> Vec<Input> {
        std::mem::take(&mut self.echo)
    }

    fn count_tick(&self, inputs: usize, took: Duration) {
        self.metrics.count_tick(inputs, took, self.calls.len());
    }
}

/// # Addresses
impl Outlets {
    /// Keeps the address that another VM stated.
    pub fn learn_address(&mut self, vm: &VmName, address: &str) {
        if self.addresses.get(vm).is_none_or(|known| known != address) {
            self.addresses.insert(vm.clone(), address.to_owned());
        }
    }

    /// Returns the address of another VM.
    fn address_of(&self, control: &Control, vm: &VmName) -> Option<String> {
        let member = control.tables().view.member(vm);
        let known = || self.addresses.get(vm).cloned();
        member.map(|row| row.address.clone()).or_else(known)
    }

    /// Takes the addresses of a view, and forgets others once there are many.
    fn forget_addresses(&mut self, view: &View) {
        if self.addresses.len() > 2 * view.members.len() + MAX_STRANGERS {
            self.addresses.clear();
        }
        for member in &view.members {
            self.learn_address(&member.vm, &member.address);
        }
    }
}
