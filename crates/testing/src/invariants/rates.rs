//! Invariant of the rate limits of client accounts.

use std::collections::BTreeMap;

use knapweeddale_core::FleetConfig;
use knapweeddale_core::tables::{Bucket, NCALLS_PER_CALL};

use crate::mesh::{Trace, TraceEvent};

/// Checks that an account is admitted at most rate x window + burst calls in any window.
///
/// # Errors
///
/// Returns the account and time of the first call that breaks the limit.
pub fn rate_and_burst(trace: &Trace, fleet: &FleetConfig) -> Result<(), String> {
    // If a bucket that starts full admits the same calls at the same times, every window is within
    // the limit.
    let mut buckets: BTreeMap<_, _> = fleet
        .accounts
        .iter()
        .map(|account| {
            let burst_ncalls = account.burst_calls * NCALLS_PER_CALL;
            let bucket = Bucket::full(account.rate_mcalls_per_s, burst_ncalls, 0);
            (account.name.clone(), bucket)
        })
        .collect();
    for (at_us, event) in &trace.events {
        let TraceEvent::Admitted { account, vm, call } = event else {
            continue;
        };
        let Some(bucket) = buckets.get_mut(account) else {
            return Err(format!("account {account} is not configured"));
        };
        if !bucket.try_take(*at_us) {
            return Err(format!(
                "account {account} exceeded its rate at {at_us} us with call {call} on {vm}"
            ));
        }
    }
    Ok(())
}
