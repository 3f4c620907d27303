//! Parts of a summary about the load that VMs share: waiting calls, and what calls have shown about
//! upstreams.

use crate::ids::{PoolKey, UpstreamName};

/// Calls of the sender that wait for an upstream of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolKey,
    /// Waiting calls that can still be on time.
    pub timely_calls: u32,
    /// Waiting calls that cannot be on time any more.
    pub late_calls: u32,
}

/// What the calls of the sender have shown about an upstream, as totals since the upstream's
/// process started or the sender's did.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of its process in Unix time; 0 if unknown.
    pub started_unix_ms: u64,
    /// Complete responses.
    pub responses: u64,
    /// Sum of the times that the calls with these responses ran, in microseconds.
    pub busy_us: u64,
    /// Prompt tokens that were read for the responses that measure the prefill time.
    pub read_tokens: u64,
    /// Time in which these tokens were read, in microseconds.
    pub read_us: u64,
    /// Calls that it rejected because it was full.
    pub rejections: u64,
}

/// The pace at which an upstream that has started or recovered takes calls from all VMs together.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UpstreamPace {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of its process in Unix time; 0 if unknown.
    pub started_unix_ms: u64,
    /// Age of the event after which it is paced: its start, its return, or its last failure.
    pub age_us: u64,
    /// Timely responses to calls that the sender has sent since then.
    pub responses: u64,
    /// Rejected, failed and slow calls that the sender has sent since then.
    pub setbacks: u64,
}
