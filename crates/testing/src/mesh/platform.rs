//! The platform's list of VMs.

use knapweeddale_core::VmName;
use knapweeddale_core::input::VmStatus;

/// The platform's list of VMs, which lags.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Time after which the list shows that a VM started or went.
    pub lag_us: u64,
    /// The list that a VM gets when it starts.
    pub(super) published: Vec<VmStatus>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            lag_us: 10_000_000,
            published: Vec::new(),
        }
    }
}

/// Returns the entry of a VM.
pub(super) fn status(vm: &VmName) -> VmStatus {
    VmStatus {
        vm: vm.clone(),
        address: vm.to_string(),
        leaving: false,
    }
}
