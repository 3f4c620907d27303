//! Simulates the platform's list of VMs.

use knapweeddale_core::VmName;
use knapweeddale_core::input::ListedVm;

use super::{Event, Mesh};

/// The platform's list of VMs, which is published with a delay.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Delay until the list shows that a VM started or crashed.
    pub lag_us: u64,
    /// The last published list, which a VM receives when it starts.
    pub(super) published: Vec<ListedVm>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            lag_us: 10_000_000,
            published: Vec::new(),
        }
    }
}

/// Returns the list entry of a VM.
pub(super) fn listed_vm(vm: &VmName) -> ListedVm {
    ListedVm {
        vm: vm.clone(),
        address: vm.to_string(),
        leaving: false,
    }
}

/// # Platform
impl Mesh {
    /// Schedules the publication of the VMs that are running now.
    pub(super) fn publish_list(&mut self) {
        let running = self.vms.iter().filter(|vm| vm.control.is_some());
        let list: Vec<_> = running.map(|vm| listed_vm(&vm.name)).collect();
        let at_us = self.now_us + self.platform.lag_us;
        self.schedule(at_us, Event::VmList(list));
    }
}
