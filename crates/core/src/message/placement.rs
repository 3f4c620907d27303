//! Messages between the entry VM of a call and the owner of a pool.

use smallvec::SmallVec;

use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, PoolKey, ProgramKey, UpstreamName,
};
use crate::output::{PlacementReason, RefusalKind};

/// A message between the entry VM of a call and the owner of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum PlacementMessage {
    /// Asks for an upstream.
    Place(Box<Place>),
    /// Confirms that a call waits for an upstream.
    Queued {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Names the upstream of an attempt.
    Placed {
        /// The pool.
        pool: PoolKey,
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamName,
        /// Why this upstream.
        reason: PlacementReason,
        /// The next best upstreams.
        runners_up: SmallVec<[UpstreamName; 2]>,
    },
    /// Says that the attempt gets no upstream.
    Unplaced {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        kind: RefusalKind,
    },
    /// Withdraws a request for an upstream.
    Withdraw {
        /// The pool.
        pool: PoolKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Reports the end of an attempt.
    Finish(Box<Finish>),
    /// Confirms a `Finish`.
    Finished {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Reports running attempts to a new owner of their pool.
    InFlight {
        /// The pool.
        pool: PoolKey,
        /// The attempts.
        attempts: Vec<InFlight>,
    },
    /// Tells the entry VM of a call in how many crashes its content was seen.
    Suspected {
        /// The call.
        call: CallId,
        /// The number of crashes.
        crashes: u32,
    },
    /// Forbids all VMs to run a content.
    Quarantine {
        /// The content.
        digest: ContentDigest,
        /// For how long.
        for_ms: u64,
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
    /// Tokens that the whole program had used before the call, as the caller's
    /// continuation states them.
    pub spent_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Highest number of tokens of the response.
    pub max_tokens: u64,
    /// Identifies the content across resends.
    pub digest: ContentDigest,
    /// Crashes in which the content was seen.
    pub crashes: u32,
    /// Upstreams on which the call has failed.
    pub avoid: SmallVec<[UpstreamName; 2]>,
    /// The end of the attempt before this one, in case its own report is late.
    pub ended: Option<Finish>,
    /// The rank of a call whose route has one; 0 goes first.
    pub priority: Option<u32>,
    /// The only upstream that may run the call, unless it has ended.
    pub only: Option<UpstreamName>,
}

/// Reports the end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Finish {
    /// The pool.
    pub pool: PoolKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstream that ran it.
    pub upstream: UpstreamName,
    /// How it ended.
    pub result: AttemptResult,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that the upstream found in its cache.
    pub cached_tokens: u64,
    /// Tokens of the response.
    pub answer_tokens: u64,
    /// Time from dispatch to the first token; 0 if there was none.
    pub first_token_us: u64,
    /// Time from dispatch to the end.
    pub total_us: u64,
}

/// How an attempt ended, as far as its upstream is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AttemptResult {
    /// The response was complete.
    Complete,
    /// The upstream refused the connection.
    NotConnected,
    /// The upstream failed or refused the request.
    Failed,
    /// The upstream refused the request because it was full.
    Full,
    /// The connection broke.
    Lost,
    /// The caller left or the attempt was never sent.
    Unused,
}

/// A running attempt, reported to a new owner of its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct InFlight {
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The account that is charged.
    pub account: Option<AccountName>,
    /// The program.
    pub program: Option<ProgramKey>,
    /// The content.
    pub digest: ContentDigest,
    /// Crashes in which the content was seen.
    pub crashes: u32,
}
