//! The queues from the control thread to those who carry out its outputs.

use std::collections::HashMap;
use std::sync::Arc;

use knapweeddale_core::Charge;
use knapweeddale_peer::Peers;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};

use super::background::OutputQueues;
use crate::control::{OutputDispatcher, Status};
use crate::front::SharedState;
use knapweeddale_runtime::Clock;

/// Orders about the view that may wait; the core has few of them at a time.
const VIEW_QUEUE_LEN: usize = 32;

/// Releases of engine memory that may wait; the core repeats those dropped.
const RELEASE_QUEUE_LEN: usize = 4_096;

/// Probes that may wait; there is one for each broken connection.
const PROBE_QUEUE_LEN: usize = 1_024;

/// Orders to engines that may wait; one for each engine of the services of one VM.
const ORDER_QUEUE_LEN: usize = 1_024;

/// Charge records that may wait for the writer, a second of traffic at the
/// rate that a VM decides at most.
const CHARGE_QUEUE_LEN: usize = 100_000;

/// Both ends of the queues.
pub(super) struct OutputChannels {
    /// The ends of the control thread.
    pub dispatcher: OutputDispatcher,
    /// The orders to background tasks.
    pub queues: OutputQueues,
    /// The charge records.
    pub charges: mpsc::Receiver<Charge>,
}

impl OutputChannels {
    /// Makes all queues.
    pub fn new<C: Clock>(shared: &SharedState<C>, status: watch::Sender<Status>) -> Self {
        let (view_requests, view_queue) = mpsc::channel(VIEW_QUEUE_LEN);
        let (release_requests, release_queue) = mpsc::channel(RELEASE_QUEUE_LEN);
        let (probe_requests, probe_queue) = mpsc::channel(PROBE_QUEUE_LEN);
        let (model_orders, order_queue) = mpsc::channel(ORDER_QUEUE_LEN);
        let (charges, charge_queue) = mpsc::channel(CHARGE_QUEUE_LEN);
        let peers = Peers::new(
            shared.peer_options.clone(),
            Arc::clone(&shared.peer_counts),
            Handle::current(),
        );
        let dispatcher = OutputDispatcher {
            vm: shared.vm.clone(),
            peers,
            view_requests,
            release_requests,
            probe_requests,
            model_orders,
            charges,
            status,
            lease_until_us: Arc::clone(&shared.lease_until_us),
            metrics: Arc::clone(&shared.metrics),
            calls: HashMap::new(),
            addresses: HashMap::new(),
            pending_inputs: Vec::new(),
        };
        Self {
            dispatcher,
            queues: OutputQueues {
                view_requests: view_queue,
                release_requests: release_queue,
                probe_requests: probe_queue,
                model_orders: order_queue,
            },
            charges: charge_queue,
        }
    }
}
