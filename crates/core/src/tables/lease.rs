//! The lease under which a VM acts as owner and home.

/// The lease under which a VM acts as owner and home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    /// When the lease ends, on this VM's clock.
    pub until_us: u64,
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
}
