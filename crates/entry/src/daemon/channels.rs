//! The queues between the control thread and the tasks that execute its outputs.

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

/// Capacity of the queue of view requests; the core has few of them at a time.
const VIEW_QUEUE_LEN: usize = 32;

/// Capacity of the queue of engine memory releases; the core repeats those dropped.
const RELEASE_QUEUE_LEN: usize = 4_096;

/// Capacity of the probe queue; there is one probe for each broken connection.
const PROBE_QUEUE_LEN: usize = 1_024;

/// Capacity of the queue of orders to engines; one for each engine of the services of one VM.
const ORDER_QUEUE_LEN: usize = 1_024;

/// Capacity of the queue of charge records for the writer: one second of traffic at the highest
/// rate of decisions of a VM.
const CHARGE_QUEUE_LEN: usize = 100_000;

/// Both ends of the control thread's output queues.
pub(super) struct OutputChannels {
    /// The dispatcher, with the sending ends.
    pub dispatcher: OutputDispatcher,
    /// The receiving ends for background tasks.
    pub queues: OutputQueues,
    /// The receiving end for the writer of charge records.
    pub charges: mpsc::Receiver<Charge>,
}

impl OutputChannels {
    /// Creates all queues.
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
