//! Decisions about the places of upstreams, each logged as one line.

use derive_more::Display;

use crate::ids::{PoolKey, UpstreamName};

/// A decision about the places of upstreams.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum CapacityDecision {
    /// Calls wait because this VM's share of the free places is used up.
    #[display(
        "placement: calls of {pool} wait, the share of this VM is used up, {own_calls} of {all_calls} calls"
    )]
    ClaimUsedUp {
        /// The pool of the calls.
        pool: PoolKey,
        /// Calls of this VM that wait or are placed in a period.
        own_calls: u64,
        /// The same of all VMs, as far as known.
        all_calls: u64,
    },
    /// An upstream rejected a call because it was full.
    #[display("placement: {upstream} is full, its places count as taken for {for_ms} ms")]
    UpstreamFull {
        /// The full upstream.
        upstream: UpstreamName,
        /// Time for which its places count as taken.
        for_ms: u64,
    },
}
