//! The VMs with a disk that one of them knows, and which of them answer.

use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use knapweeddale_core::turns::HolderVm;
use knapweeddale_core::{DomainName, RegionName, StorageVm, VmName};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::turns::OfferCursor;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes in a row without a connection after which a VM counts as lost.
const LOST_PROBES: u32 = 2;

/// A VM with a disk other than this one.
#[derive(Debug)]
struct Member {
    vm: StorageVm,
    failed_probes: u32,
    /// Whether this VM has copied from it what it is to hold.
    is_copied: bool,
    /// How far this VM has compared the turns of that VM with its own.
    cursor: Option<OfferCursor>,
}

impl Member {
    fn new(vm: StorageVm) -> Self {
        Self {
            vm,
            failed_probes: 0,
            is_copied: false,
            cursor: None,
        }
    }

    fn is_lost(&self) -> bool {
        self.failed_probes >= LOST_PROBES
    }
}

/// The table of VMs with a disk.
///
/// It is filled from the store and by VMs that ask this one for copies, so that it grows while the
/// store is away. A VM that is gone for good stays in it as lost.
#[derive(Debug)]
pub(crate) struct Members {
    own: StorageVm,
    /// The region of each failure domain.
    regions: BTreeMap<DomainName, RegionName>,
    rows: Mutex<BTreeMap<VmName, Member>>,
    /// Wakes the task that copies turns when a VM joins.
    joined: Notify,
}

/// # Construction
impl Members {
    /// Creates a table that knows this VM only.
    pub fn new(own: StorageVm, regions: BTreeMap<DomainName, RegionName>) -> Self {
        Self {
            own,
            regions,
            rows: Mutex::default(),
            joined: Notify::new(),
        }
    }
}

/// # Membership
impl Members {
    /// Returns this VM.
    pub fn own(&self) -> &StorageVm {
        &self.own
    }

    /// Returns the address of this VM.
    pub fn own_address(&self) -> &str {
        &self.own.address
    }

    /// Adds a VM, or replaces the one of its name at another address.
    pub fn learn(&self, vm: &StorageVm) {
        if vm.vm == self.own.vm {
            return;
        }
        let mut rows = self.rows();
        if rows.get(&vm.vm).is_some_and(|known| known.vm == *vm) {
            return;
        }
        tracing::info!(vm = %vm.vm, address = vm.address, "storage: VM joined");
        rows.insert(vm.vm.clone(), Member::new(vm.clone()));
        self.joined.notify_one();
    }

    /// Waits until a VM has joined.
    pub async fn joined(&self) {
        self.joined.notified().await;
    }

    /// Returns the other VMs that answer: those of the same failure domain first, then those of
    /// the same region.
    ///
    /// Those at the same distance begin with the next name after the one of this VM, so that not
    /// all VMs copy from the same one.
    pub fn living(&self) -> Vec<StorageVm> {
        let rows = self.rows();
        let living = rows.values().filter(|row| !row.is_lost());
        let mut living: Vec<StorageVm> = living.map(|row| row.vm.clone()).collect();
        let own_region = self.region_of(&self.own.failure_domain);
        living.sort_by_cached_key(|vm| {
            let is_other_domain = vm.failure_domain != self.own.failure_domain;
            let is_other_region = self.region_of(&vm.failure_domain) != own_region;
            (is_other_domain, is_other_region, vm.vm < self.own.vm)
        });
        living
    }

    /// Returns the addresses of the VMs that do not answer.
    pub fn lost(&self) -> Vec<Arc<str>> {
        let rows = self.rows();
        let lost = rows.values().filter(|row| row.is_lost());
        lost.map(|row| Arc::from(row.vm.address.as_str())).collect()
    }

    /// Returns all VMs as holders of turns; those at the `lost` addresses count as lost as well.
    pub fn holder_vms(&self, lost: &[Arc<str>]) -> Vec<HolderVm> {
        let rows = self.rows();
        let others = rows.values().map(|row| (&row.vm, row.is_lost()));
        let all = others.chain([(&self.own, false)]);
        all.map(|(vm, is_lost)| HolderVm {
            address: Arc::from(vm.address.as_str()),
            region: self.region_of(&vm.failure_domain),
            is_lost: is_lost || lost.iter().any(|address| **address == *vm.address),
        })
        .collect()
    }

    /// Returns the region of a failure domain, or the failure domain if that is not known.
    fn region_of(&self, domain: &DomainName) -> Arc<str> {
        let region = self.regions.get(domain);
        Arc::from(region.map_or(domain.as_str(), |region| region.as_str()))
    }

    /// Locks the table; a panic while it was locked leaves it usable.
    fn rows(&self) -> MutexGuard<'_, BTreeMap<VmName, Member>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// # Copies
impl Members {
    /// Records that this VM has copied what it is to hold from another one.
    pub fn mark_copied(&self, vm: &VmName) {
        if let Some(row) = self.rows().get_mut(vm) {
            row.is_copied = true;
        }
    }

    /// Returns how far this VM has compared the turns of the VM at an address with its own.
    pub fn cursor(&self, address: &str) -> Option<OfferCursor> {
        let rows = self.rows();
        let row = rows.values().find(|row| row.vm.address == address);
        row.and_then(|row| row.cursor)
    }

    /// Records how far this VM has compared the turns of the VM at an address with its own.
    pub fn set_cursor(&self, address: &str, cursor: OfferCursor) {
        let mut rows = self.rows();
        let rows = rows.values_mut();
        for row in rows.filter(|row| row.vm.address == address) {
            row.cursor = Some(cursor);
        }
    }

    /// Returns whether this VM has copied what it is to hold from all others.
    pub fn are_all_copied(&self) -> bool {
        self.rows().values().all(|row| row.is_copied)
    }
}

/// # Probes
impl Members {
    /// Probes all VMs once; returns whether one of them has become lost or answers again.
    pub async fn probe(&self) -> bool {
        let addresses: Vec<String> = {
            let rows = self.rows();
            rows.values().map(|row| row.vm.address.clone()).collect()
        };
        let probes = addresses.iter().map(|address| accepts(address));
        let results = join_all(probes).await;
        let answering: HashSet<String> = addresses
            .into_iter()
            .zip(results)
            .filter_map(|(address, is_accepted)| is_accepted.then_some(address))
            .collect();
        let mut has_changed = false;
        for row in self.rows().values_mut() {
            let was_lost = row.is_lost();
            row.failed_probes = match answering.contains(&row.vm.address) {
                true => 0,
                false => row.failed_probes.saturating_add(1),
            };
            if row.is_lost() != was_lost {
                has_changed = true;
                let (vm, is_lost) = (&row.vm.vm, row.is_lost());
                tracing::info!(%vm, is_lost, "storage: VM lost or back");
            }
        }
        has_changed
    }
}

/// Returns whether a connection to an address is accepted in time.
async fn accepts(address: &str) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}
