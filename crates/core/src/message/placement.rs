//! Messages between the entry VM of a call and the owner of a pool.

use crate::ids::{AccountName, AttemptId, ContentDigest, PoolKey, ProgramKey, UpstreamName};
use crate::output::PlacementReason;
use smallvec::SmallVec;

/// A message between the entry VM of a call and the owner of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum PlacementMessage {
    /// Asks for an upstream.
    Place(Box<Place>),
    /// Names the upstream of an attempt.
    Placed {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamName,
        /// Why this upstream.
        reason: PlacementReason,
        /// The next best upstreams.
        runners_up: SmallVec<[UpstreamName; 2]>,
    },
    /// Withdraws a request for an upstream.
    Withdraw {
        /// The pool.
        pool: PoolKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Reports the end of an attempt.
    Finish {
        /// The pool.
        pool: PoolKey,
        /// The attempt.
        attempt: AttemptId,
        /// The upstream that ran it.
        upstream: UpstreamName,
        /// Tokens of the response.
        answer_tokens: u64,
    },
}

/// Asks for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Place {
    /// The pool.
    pub pool: PoolKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The account that is charged; absent on routes open to all.
    pub account: Option<AccountName>,
    /// The program, if the call belongs to one.
    pub program: Option<ProgramKey>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Identifies the content across resends.
    pub digest: ContentDigest,
    /// Upstreams on which the call has failed.
    pub avoid: SmallVec<[UpstreamName; 2]>,
}
