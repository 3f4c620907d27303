//! Dispatches the outputs of the core to their receivers.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use knapweeddale_core::input::{AttemptProgress, Failure};
use knapweeddale_core::output::{LinkDecision, PlacementDecision};
use knapweeddale_core::{
    AttemptEvent, CallId, Charge, Control, Decision, Input, Output, SourceRequest, StorageVm,
};
use knapweeddale_runtime::{ProbeRequest, request_probe};
use tokio::sync::{mpsc, watch};

use super::message::{CallOutput, Message, SnapshotRequest, Status};
use super::tunnel_target::tunnel_target;
use crate::charges::ChargeRecord;
use crate::metrics::Metrics;
use crate::peers::encode_summary;
use crate::storage_vms::StorageList;
use crate::store::keeper_addresses;
use crate::usage::ClaimRequest;
use knapweeddale_core::usage::ClaimResult;

/// An open call, with the caller's ID of the request and the channel for its outputs.
#[derive(Debug)]
struct OpenCall {
    request: Arc<str>,
    outputs: mpsc::Sender<CallOutput>,
}

/// Dispatches the core's outputs to their receivers over bounded queues, without blocking.
#[derive(Debug)]
pub(crate) struct OutputDispatcher {
    pub source_requests: mpsc::Sender<SourceRequest>,
    pub snapshot_requests: mpsc::Sender<SnapshotRequest>,
    pub probe_requests: mpsc::Sender<ProbeRequest>,
    pub charges: mpsc::Sender<ChargeRecord>,
    pub datagrams: UdpSocket,
    pub status: watch::Sender<Status>,
    claims: mpsc::Sender<ClaimRequest>,
    storage_list: watch::Sender<StorageList>,
    /// The list from which the published one was built.
    published_keepers: Arc<Vec<StorageVm>>,
    pub metrics: Arc<Metrics>,
    calls: HashMap<CallId, OpenCall>,
    /// Calls that ended in this tick; later outputs of the tick may still refer to them.
    ended_calls: Vec<CallId>,
    /// Inputs for the next tick that result from outputs which could not be delivered.
    pending_inputs: Vec<Input>,
}

/// The receiving ends of the queues of [`OutputDispatcher`].
#[derive(Debug)]
pub(crate) struct OutputQueues {
    pub source_requests: mpsc::Receiver<SourceRequest>,
    pub snapshot_requests: mpsc::Receiver<SnapshotRequest>,
    pub probe_requests: mpsc::Receiver<ProbeRequest>,
    pub charges: mpsc::Receiver<ChargeRecord>,
    /// Addresses of VMs with a disk, those in this VM's failure domain first.
    pub claims: mpsc::Receiver<ClaimRequest>,
    pub storage_list: watch::Receiver<StorageList>,
    pub status: watch::Receiver<Status>,
}

/// Capacity of each queue of requests to the store, for snapshots and for probes.
const REQUEST_QUEUE_LEN: usize = 1_024;

/// Capacity of the queue of charge records for the writer.
const CHARGE_QUEUE_LEN: usize = 65_536;

/// # Construction
impl OutputDispatcher {
    /// Creates the dispatcher and the receiving ends of its queues.
    pub fn new(datagrams: UdpSocket, metrics: Arc<Metrics>) -> (Self, OutputQueues) {
        let (source_requests, source_queue) = mpsc::channel(REQUEST_QUEUE_LEN);
        let (snapshot_requests, snapshot_queue) = mpsc::channel(REQUEST_QUEUE_LEN);
        let (probe_requests, probe_queue) = mpsc::channel(REQUEST_QUEUE_LEN);
        let (charges, charge_queue) = mpsc::channel(CHARGE_QUEUE_LEN);
        let (claims, claim_queue) = mpsc::channel(REQUEST_QUEUE_LEN);
        let (status, status_reader) = watch::channel(Status::default());
        let (storage_list, storage_list_reader) = watch::channel(StorageList::default());
        let dispatcher = Self {
            source_requests,
            snapshot_requests,
            probe_requests,
            charges,
            datagrams,
            status,
            claims,
            storage_list,
            published_keepers: Arc::default(),
            metrics,
            calls: HashMap::new(),
            ended_calls: Vec::new(),
            pending_inputs: Vec::new(),
        };
        let queues = OutputQueues {
            source_requests: source_queue,
            snapshot_requests: snapshot_queue,
            probe_requests: probe_queue,
            charges: charge_queue,
            claims: claim_queue,
            storage_list: storage_list_reader,
            status: status_reader,
        };
        (dispatcher, queues)
    }
}

/// # Calls
impl OutputDispatcher {
    /// Sends an output to the task of a call.
    ///
    /// A call never has more pending outputs than its channel holds, so a failure means that its
    /// task has ended.
    fn send_to_call(&mut self, call: CallId, output: CallOutput) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let Err(error) = open.outputs.try_send(output) else {
            return;
        };
        self.calls.remove(&call);
        if let CallOutput::Dispatch(dispatch) = error.into_inner() {
            self.pending_inputs.push(Input::Attempt(AttemptEvent {
                attempt: dispatch.attempt,
                progress: AttemptProgress::Failed(Failure::NotSent),
            }));
        }
    }

    /// Sends the last output to the task of a call and marks the call as ended.
    fn close_call(&mut self, call: CallId, output: CallOutput) {
        self.send_to_call(call, output);
        self.ended_calls.push(call);
    }

    /// Returns the caller's ID of the request of an open call, or `-` if the call is not open.
    fn request_id(&self, call: CallId) -> &str {
        self.calls.get(&call).map_or("-", |open| &open.request)
    }
}

/// # Outputs
impl OutputDispatcher {
    /// Logs a charge and queues its record for the writer.
    fn record_charge(&mut self, charge: Charge) {
        let request = self.request_id(charge.attempt.call);
        let record = ChargeRecord::new(request, &charge);
        self.metrics.count_charge(&record);
        tracing::info!(
            request = record.request,
            attempt = record.attempt,
            account = record.account,
            upstream = record.upstream,
            "charges: {} with {} tokens",
            record.outcome,
            record.answer_tokens
        );
        if self.charges.try_send(record).is_err() {
            self.metrics.count_lost_charge();
            tracing::error!(attempt = %charge.attempt, "charges: record lost, the queue is full");
        }
    }

    /// Sends a summary. A failure is not retried, since the next summary follows.
    ///
    /// An address that another VM passed on may be no `ip:port`. It is not looked up, since that
    /// would block the control thread.
    fn send_summary(&self, address: &str, summary: &knapweeddale_core::Summary) {
        let Ok(receiver) = address.parse::<SocketAddr>() else {
            self.metrics.count_summaries("unsent");
            tracing::debug!(address, "peers: summary not sent, the address is not valid");
            return;
        };
        let encoded = match encode_summary(summary) {
            Ok(encoded) => encoded,
            Err(error) => {
                self.metrics.count_summaries("unsent");
                tracing::error!("peers: summary cannot be encoded, {error}");
                return;
            }
        };
        if encoded.omitted_rows > 0 {
            let rows = encoded.omitted_rows;
            tracing::warn!(
                address,
                "peers: {rows} rows of a summary do not fit and are left out"
            );
        }
        match self.send_datagrams(&encoded.datagrams, receiver) {
            Ok(sent_bytes) => self.metrics.count_sent(sent_bytes, encoded.datagrams.len()),
            Err(error) => {
                self.metrics.count_summaries("unsent");
                tracing::debug!(address, "peers: summary not sent ({error})");
            }
        }
    }

    /// Sends the datagrams of a summary; returns their bytes.
    fn send_datagrams(
        &self,
        datagrams: &[Vec<u8>],
        receiver: SocketAddr,
    ) -> std::io::Result<usize> {
        let mut sent_bytes = 0;
        for datagram in datagrams {
            sent_bytes += self.datagrams.send_to(datagram, receiver)?;
        }
        Ok(sent_bytes)
    }

    /// Logs a decision with the revision and the ages of the data that it is based on.
    fn log_decision(&self, decision: &Decision, control: &Control, now_us: u64) {
        self.metrics.count_decision(decision);
        let tables = control.tables();
        let revision = tables.fleet.revision.0;
        let config_age_ms = age_ms(tables.source.config.age_us(now_us));
        let list_age_ms = age_ms(tables.source.list.age_us(now_us));
        match decision_call(decision) {
            Some(call) => tracing::info!(
                request = self.request_id(call),
                call = %call,
                revision,
                config_age_ms,
                list_age_ms,
                "{decision}"
            ),
            None => tracing::info!(revision, config_age_ms, list_age_ms, "{decision}"),
        }
    }
}

/// Returns an age in milliseconds, or -1 if it is unknown.
fn age_ms(age_us: Option<u64>) -> i64 {
    age_us.map_or(-1, |age_us| {
        i64::try_from(age_us / 1_000).unwrap_or(i64::MAX)
    })
}

/// Returns the call that a decision is about.
fn decision_call(decision: &Decision) -> Option<CallId> {
    match decision {
        Decision::Refused { call, .. }
        | Decision::Admitted { call, .. }
        | Decision::NoRoom { call, .. }
        | Decision::Placement(PlacementDecision::NotPlaceable { call, .. })
        | Decision::TurnCovered { call, .. }
        | Decision::TurnUncovered { call, .. }
        | Decision::Retry { call, .. }
        | Decision::BoundToOrigin { call, .. }
        | Decision::StreamTakenUp { call, .. }
        | Decision::NoRetry { call, .. }
        | Decision::SilenceTolerated { call, .. } => Some(*call),
        Decision::Claim(claim) => Some(claim.call()),
        Decision::Placed { attempt, .. }
        | Decision::Links(LinkDecision::Proxied { attempt, .. }) => Some(attempt.call),
        _ => None,
    }
}

/// # Published state
impl OutputDispatcher {
    /// Publishes the list of storage VMs if it was read again, or could not be.
    fn publish_storage_list(&mut self, control: &Control) {
        let source = &control.tables().source;
        let failed = source.list_wishes.failed;
        let is_same = Arc::ptr_eq(&source.keepers, &self.published_keepers);
        if is_same && failed == self.storage_list.borrow().failed {
            return;
        }
        self.published_keepers = Arc::clone(&source.keepers);
        let nearest = &control.settings().failure_domain;
        self.storage_list.send_replace(StorageList {
            addresses: keeper_addresses(&source.keepers, nearest),
            answered: source.list_wishes.answered,
            failed,
        });
    }
}

impl knapweeddale_runtime::OutputHandler for OutputDispatcher {
    type Message = Message;

    fn accept_message(
        &mut self,
        message: Message,
        control: &Control,
        now_us: u64,
        inputs: &mut Vec<Input>,
    ) -> bool {
        match message {
            Message::Input(input) => inputs.push(input),
            Message::Summary { input, permits } => {
                drop(permits);
                inputs.push(input);
            }
            Message::Open {
                call,
                request,
                input,
                outputs,
            } => {
                self.calls.insert(call, OpenCall { request, outputs });
                inputs.push(input);
            }
            Message::Snapshot {
                with_programs,
                answer,
            } => {
                let snapshot = control.snapshot(now_us, with_programs);
                if answer.send(Box::new(snapshot)).is_err() {
                    tracing::debug!("peers: snapshot not sent, the requesting VM disconnected");
                }
            }
            Message::ResolveTunnel {
                ip,
                upstream,
                answer,
            } => {
                if answer.send(tunnel_target(control, ip, &upstream)).is_err() {
                    tracing::debug!("tunnel: target not sent, the VM disconnected");
                }
            }
            Message::Stop => return false,
        }
        true
    }

    fn handle_output(&mut self, output: Output, control: &Control, now_us: u64) {
        match output {
            Output::Dispatch(dispatch) => {
                self.send_to_call(dispatch.attempt.call, CallOutput::Dispatch(dispatch));
            }
            Output::CancelAttempt(attempt) => self.send_to_call(attempt.call, CallOutput::Cancel),
            Output::Answered(answered) => self.close_call(answered.call, CallOutput::Answered),
            Output::Refused(refusal) => self.close_call(refusal.call, CallOutput::Refused(refusal)),
            Output::Source(request) => {
                if self.source_requests.try_send(request).is_err() {
                    tracing::error!("source: request dropped, the queue is full");
                }
            }
            Output::SendSummary { address, summary } => self.send_summary(&address, &summary),
            Output::RequestSnapshot {
                address,
                with_programs,
            } => {
                let request = SnapshotRequest {
                    address,
                    with_programs,
                    sent_us: now_us,
                };
                if self.snapshot_requests.try_send(request).is_err() {
                    tracing::error!("peers: snapshot request dropped, the queue is full");
                }
            }
            Output::Claim { claim, proxies } => {
                let program = claim.program.clone();
                let request = ClaimRequest { claim, proxies };
                if self.claims.try_send(request).is_err() {
                    let result = ClaimResult::Unanswered;
                    self.pending_inputs.push(Input::Claimed { program, result });
                }
            }
            Output::Probe { upstream, proxy } => {
                self.pending_inputs.extend(request_probe(
                    &self.probe_requests,
                    upstream,
                    proxy,
                    control,
                ));
            }
            Output::Charge(charge) => self.record_charge(charge),
            Output::Decision(decision) => self.log_decision(&decision, control, now_us),
            // Emitted only under `Coordination::Owners`, or for calls that have a home.
            Output::Replay { .. }
            | Output::PermitIssued { .. }
            | Output::ProgramEnded { .. }
            | Output::Send { .. }
            | Output::Store(_)
            | Output::ReleaseMemory { .. }
            | Output::Order(_) => {}
        }
    }

    fn publish_status(&mut self, control: &Control, now_us: u64) {
        for call in self.ended_calls.drain(..) {
            self.calls.remove(&call);
        }
        self.publish_storage_list(control);
        let fleet = &control.tables().fleet;
        let has_fleet = fleet.revision.0 > 0;
        let limits = fleet.caller_limits;
        let has_upstreams = !control.tables().source.upstreams.upstreams.is_empty();
        let status = Status {
            is_ready: control.is_ready(now_us) && has_upstreams,
            body_bytes: if has_fleet { limits.body_bytes } else { 0 },
            header_bytes: if has_fleet { limits.header_bytes } else { 0 },
            header_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
        };
        self.status.send_if_modified(|known| {
            let is_changed = *known != status;
            if known.is_ready != status.is_ready {
                let config_age_ms = age_ms(control.tables().source.config.age_us(now_us));
                tracing::info!(
                    ready = status.is_ready,
                    revision = fleet.revision.0,
                    config_age_ms,
                    "control: readiness changed"
                );
            }
            *known = status;
            is_changed
        });
        self.metrics.update_gauges(control, now_us);
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
