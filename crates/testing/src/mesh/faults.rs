//! Fault injection on the links between VMs.

use smallvec::SmallVec;

use crate::Random;

/// Delay, loss and duplication of the messages between VMs.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Minimum delay of a message.
    pub min_delay_us: u64,
    /// Maximum delay of a message; varying delays reorder messages.
    pub max_delay_us: u64,
    /// Messages lost per 1,000.
    pub lost_per_mille: u64,
    /// Messages delivered twice per 1,000.
    pub duplicated_per_mille: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            min_delay_us: 800,
            max_delay_us: 1_500,
            lost_per_mille: 0,
            duplicated_per_mille: 0,
        }
    }
}

impl Faults {
    /// Returns the delay of each delivery of a message; empty if it is lost.
    pub(super) fn delivery_delays_us(&self, random: &mut Random) -> SmallVec<[u64; 2]> {
        let mut delays_us = SmallVec::new();
        if random.per_mille(self.lost_per_mille) {
            return delays_us;
        }
        delays_us.push(random.between(self.min_delay_us, self.max_delay_us));
        if random.per_mille(self.duplicated_per_mille) {
            delays_us.push(random.between(self.min_delay_us, self.max_delay_us));
        }
        delays_us
    }
}
