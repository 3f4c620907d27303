//! The queues from the control thread to those who carry out its outputs.

use std::collections::HashMap;
use std::sync::Arc;

use knapweeddale_core::Charge;
use knapweeddale_peer::Peers;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};

use super::background::Orders;
use crate::control::{Outlets, Status};
use crate::front::Shared;
use knapweeddale_runtime::Clock;

/// Orders about the view that may wait; the core has few of them at a time.
const VIEW_ORDERS: usize = 32;

/// Releases of engine memory that may wait; the core repeats those dropped.
const RELEASES: usize = 4_096;

/// Probes that may wait; there is one for each broken connection.
const PROBES: usize = 1_024;

/// Orders to engines that may wait; one for each engine of the services of one VM.
const MODEL_ORDERS: usize = 1_024;

/// Charge records that may wait for the writer, a second of traffic at the
/// rate that a VM decides at most.
const CHARGES: usize = 100_000;

/// Both ends of the queues.
pub(super) struct Links {
    /// The ends of the control thread.
    pub outlets: Outlets,
    /// The orders to background tasks.
    pub orders: Orders,
    /// The charge records.
    pub charges: mpsc::Receiver<Charge>,
}

impl Links {
    /// Makes all queues.
    pub fn new<C: Clock>(shared: &Shared<C>, status: watch::Sender<Status>) -> Self {
        let (views, view_orders) = mpsc::channel(VIEW_ORDERS);
        let (releases, release_orders) = mpsc::channel(RELEASES);
        let (probes, probe_orders) = mpsc::channel(PROBES);
        let (orders, model_orders) = mpsc::channel(MODEL_ORDERS);
        let (charges, charge_records) = mpsc::channel(CHARGES);
        let peers = Peers::new(
            shared.peer_options.clone(),
            Arc::clone(&shared.peer_counts),
            Handle::current(),
        );
        let outlets = Outlets {
            vm: shared.vm.clone(),
            peers,
            views,
            releases,
            probes,
            orders,
            charges,
            status,
            lease_until_us: Arc::clone(&shared.lease_until_us),
            metrics: Arc::clone(&shared.metrics),
            calls: HashMap::new(),
            addresses: HashMap::new(),
            echo: Vec::new(),
        };
        Self {
            outlets,
            orders: Orders {
                views: view_orders,
                releases: release_orders,
                probes: probe_orders,
                models: model_orders,
            },
            charges: charge_records,
        }
    }
}
