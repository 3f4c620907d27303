//! The lease under which a VM acts as owner and home.

/// The lease under which a VM acts as owner and home.
///
/// A confirmation is a time at which the view in force here, or an older one, was known to be
/// the current view of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    /// End of the lease on this VM's clock; 0 without a lease.
    pub until_us: u64,
    /// Time of the latest confirmation on this VM's clock; VMs that are not members record it too.
    pub confirmed_us: Option<u64>,
}

impl Lease {
    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// Returns the time until the lease ends; 0 if it has ended.
    pub fn remaining_us(&self, now_us: u64) -> u64 {
        self.until_us.saturating_sub(now_us)
    }

    /// Returns the age of the latest confirmation, or `None` if there was none.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        let confirmed_us = self.confirmed_us?;
        Some(now_us.saturating_sub(confirmed_us))
    }
}
