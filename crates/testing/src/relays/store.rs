//! In-memory model of the platform's store, limited to the requests that relays send.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use knapweeddale_core::tables::BudgetRecord;
use knapweeddale_core::{
    DomainName, Evacuations, FleetConfig, ProgramKey, RegisteredVm, SourceEvent, SourceRequest,
    SourceRequestKind, UpstreamList, VmName,
};

/// VMs that restart within this time count as one loss of the fleet's in-memory state.
const LOSS_MERGE_WINDOW_US: u64 = 4_000_000;

/// The contents of the store and its availability.
#[derive(Debug)]
pub struct StoreState {
    config: Arc<FleetConfig>,
    list: Arc<UpstreamList>,
    vms: BTreeMap<usize, VmName>,
    budgets: BTreeMap<ProgramKey, BudgetRecord>,
    losses: (u32, u64),
    is_down: bool,
    evacuations: Evacuations,
    evacuations_are_down: bool,
    unreachable: BTreeSet<usize>,
    /// Number of requests that the store served, by kind.
    pub requests: BTreeMap<&'static str, u64>,
}

impl StoreState {
    pub(super) fn new(config: FleetConfig, list: UpstreamList) -> Self {
        Self {
            config: Arc::new(config),
            list: Arc::new(list),
            vms: BTreeMap::new(),
            budgets: BTreeMap::new(),
            losses: (0, 0),
            is_down: false,
            evacuations: Evacuations {
                revision: 1,
                ..Evacuations::default()
            },
            evacuations_are_down: false,
            unreachable: BTreeSet::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Publishes a configuration, which replaces the previous one.
    pub fn publish(&mut self, config: FleetConfig) {
        self.config = Arc::new(config);
    }

    /// Replaces the upstream list.
    pub fn set_upstreams(&mut self, list: UpstreamList) {
        self.list = Arc::new(list);
    }

    /// Replaces the evacuated failure domains.
    pub fn set_evacuations(&mut self, domains: &[&str]) {
        self.evacuations = Evacuations {
            revision: self.evacuations.revision + 1,
            domains: domains.iter().map(|name| DomainName::from(*name)).collect(),
        };
    }

    /// Makes the reads of evacuations fail, or ends that.
    pub fn set_evacuations_down(&mut self, is_down: bool) {
        self.evacuations_are_down = is_down;
    }

    /// Reads the evacuations if they are asked for.
    fn read_evacuations(&mut self, is_asked: bool) -> Option<Evacuations> {
        if !is_asked {
            return None;
        }
        *self.requests.entry("evacuations").or_default() += 1;
        (!self.evacuations_are_down).then(|| self.evacuations.clone())
    }

    /// Makes the store fail the requests of all VMs, or ends the outage.
    pub fn set_down(&mut self, is_down: bool) {
        self.is_down = is_down;
    }

    /// Sets whether a VM reaches the store; requests of an unreachable VM fail.
    pub fn set_reachable(&mut self, vm: usize, is_reachable: bool) {
        if is_reachable {
            self.unreachable.remove(&vm);
        } else {
            self.unreachable.insert(vm);
        }
    }

    pub(super) fn config(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.config)
    }

    /// Serves a request of a VM; returns `None` if the request has no response.
    pub(super) fn handle_request(
        &mut self,
        (vm, name): (usize, &VmName),
        request: SourceRequest,
        now_us: u64,
    ) -> Option<SourceEvent> {
        let (kind, label) = request_kind(&request);
        if self.is_down || self.unreachable.contains(&vm) {
            return Some(SourceEvent::Failed(kind));
        }
        *self.requests.entry(label).or_default() += 1;
        Some(match request {
            SourceRequest::Config => SourceEvent::Config {
                sent_us: now_us,
                fleet: Some(Arc::clone(&self.config)),
            },
            SourceRequest::Upstreams { with_evacuations } => SourceEvent::Upstreams {
                sent_us: now_us,
                list: Arc::clone(&self.list),
                evacuations: self.read_evacuations(with_evacuations),
            },
            SourceRequest::Vms => {
                self.vms.insert(vm, name.clone());
                let vms = self.vms.values();
                let relays = vms.map(|vm| RegisteredVm {
                    vm: vm.clone(),
                    address: vm.to_string(),
                });
                SourceEvent::Vms {
                    relays: relays.collect(),
                    keepers: Vec::new(),
                }
            }
            SourceRequest::MarkStopped {
                program,
                budget_tokens,
            } => {
                let record = self
                    .budgets
                    .entry(program.clone())
                    .or_insert_with(|| BudgetRecord::stopped(program, budget_tokens));
                record.is_stopped = true;
                return None;
            }
            SourceRequest::Release { program, tokens } => {
                if let Some(record) = self.budgets.get_mut(&program) {
                    record.release(tokens);
                }
                return None;
            }
            SourceRequest::Losses => {
                if self.losses.0 == 0 || now_us > self.losses.1 + LOSS_MERGE_WINDOW_US {
                    self.losses = (self.losses.0 + 1, now_us);
                }
                SourceEvent::Losses {
                    losses: self.losses.0,
                    records: self.budgets.values().cloned().collect(),
                }
            }
            SourceRequest::Reserve {
                program,
                budget_tokens,
                taken_tokens,
                needed_tokens,
                ..
            } => {
                let record = self.budgets.entry(program.clone()).or_insert_with(|| {
                    BudgetRecord::new(program.clone(), budget_tokens, taken_tokens)
                });
                let tokens = record.reserve(needed_tokens);
                SourceEvent::Reserved { program, tokens }
            }
        })
    }
}

/// Returns the kind of a request and the label under which it is counted.
fn request_kind(request: &SourceRequest) -> (SourceRequestKind, &'static str) {
    match request {
        SourceRequest::Config => (SourceRequestKind::Config, "config"),
        SourceRequest::Upstreams { .. } => (SourceRequestKind::Upstreams, "upstreams"),
        SourceRequest::Vms => (SourceRequestKind::Vms, "vms"),
        SourceRequest::Losses => (SourceRequestKind::Losses, "losses"),
        SourceRequest::Reserve { program, .. }
        | SourceRequest::MarkStopped { program, .. }
        | SourceRequest::Release { program, .. } => {
            (SourceRequestKind::Budget(program.clone()), "budget")
        }
    }
}
