//! The lease under which a VM acts as owner and home.

/// The lease under which a VM acts as owner and home.
///
/// A confirmation is the moment at which the view in force here, or an older
/// one, was known to be the view of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    /// When the lease ends, on this VM's clock; 0 without a lease.
    pub until_us: u64,
    /// The latest confirmation, on this VM's clock; kept by VMs that are no members.
    pub confirmed_us: Option<u64>,
}

impl Lease {
    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// Returns how long the lease is still valid.
    pub fn remaining_us(&self, now_us: u64) -> u64 {
        self.until_us.saturating_sub(now_us)
    }

    /// Returns the age of the latest confirmation.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        let confirmed_us = self.confirmed_us?;
        Some(now_us.saturating_sub(confirmed_us))
    }
}
