//! Calls that wait at other VMs, by pool.

use super::{Table, Tables};
use crate::ids::PoolKey;
use crate::message::PoolDemand;

/// Calls that wait for an upstream of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WaitingCalls {
    /// Calls that can still be on time.
    pub timely: u64,
    /// Calls that cannot be on time any more.
    pub late: u64,
}

impl WaitingCalls {
    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        self.timely + self.late
    }
}

/// Sums of the calls that wait at other VMs, by pool.
#[derive(Debug, Default)]
pub struct PeerDemand {
    by_pool: Table<PoolKey, WaitingCalls>,
}

impl PeerDemand {
    /// Replaces what one VM has reported.
    pub fn replace(&mut self, previous: &[PoolDemand], current: &[PoolDemand]) {
        for row in current {
            let sum = self
                .by_pool
                .get_or_insert_with(&row.pool, WaitingCalls::default);
            sum.timely += u64::from(row.timely_calls);
            sum.late += u64::from(row.late_calls);
        }
        for row in previous {
            let Some(sum) = self.by_pool.get_mut(&row.pool) else {
                continue;
            };
            sum.timely = sum.timely.saturating_sub(u64::from(row.timely_calls));
            sum.late = sum.late.saturating_sub(u64::from(row.late_calls));
            if sum.total() == 0 {
                self.by_pool.remove(&row.pool);
            }
        }
    }
}

impl Tables {
    /// Returns the calls of a pool that wait at other VMs, as far as these are heard.
    pub fn waiting_elsewhere(&self, pool: &PoolKey) -> WaitingCalls {
        let sum = self.peering.demand.by_pool.get(pool);
        sum.copied().unwrap_or_default()
    }
}
