//! Messages between the entry VM of a call and the owner of a pool.

use smallvec::SmallVec;

use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, PoolKey, ProgramKey, StreamOrigin, UpstreamName,
};
use crate::output::{PlacementReason, RefusalKind};

/// A message between the entry VM of a call and the owner of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum PlacementMessage {
    /// Requests an upstream for an attempt.
    Place(Box<Place>),
    /// Confirms that an attempt is queued for an upstream.
    Queued {
        /// The queued attempt.
        attempt: AttemptId,
    },
    /// Assigns an upstream to an attempt.
    Placed {
        /// The pool of the upstream.
        pool: PoolKey,
        /// The attempt that may run.
        attempt: AttemptId,
        /// The chosen upstream.
        upstream: UpstreamName,
        /// Reason for the choice.
        reason: PlacementReason,
        /// The next best upstreams.
        runners_up: SmallVec<[UpstreamName; 2]>,
    },
    /// Reports that the attempt gets no upstream.
    Unplaced {
        /// The attempt that ends without running.
        attempt: AttemptId,
        /// Reason for the refusal.
        kind: RefusalKind,
    },
    /// Withdraws a request for an upstream.
    Withdraw {
        /// The pool that was asked for an upstream.
        pool: PoolKey,
        /// The attempt that needs no upstream any more.
        attempt: AttemptId,
    },
    /// Reports the end of an attempt.
    Finish(Box<Finish>),
    /// Confirms a `Finish`.
    Finished {
        /// The attempt whose end is confirmed.
        attempt: AttemptId,
    },
    /// Reports running attempts to a new owner of their pool.
    InFlight {
        /// The pool that the attempts run in.
        pool: PoolKey,
        /// The running attempts.
        attempts: Vec<InFlight>,
    },
    /// Reports to the entry VM of a call during how many crashes its content was running.
    Suspected {
        /// The call that carries the content.
        call: CallId,
        /// The number of crashes.
        crashes: u32,
    },
    /// Tells all VMs to quarantine a content, so that none runs it.
    Quarantine {
        /// The digest of the content.
        digest: ContentDigest,
        /// Duration of the quarantine.
        for_ms: u64,
    },
}

/// Requests an upstream for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Place {
    /// The pool to choose from.
    pub pool: PoolKey,
    /// The attempt to place.
    pub attempt: AttemptId,
    /// The account to charge; `None` on routes that need no key.
    pub account: Option<AccountName>,
    /// The program; `None` if the call belongs to none.
    pub program: Option<ProgramKey>,
    /// Tokens that the whole program had used before the call, according to the
    /// caller's continuation.
    pub spent_tokens: u64,
    /// Estimated prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of response tokens.
    pub max_tokens: u64,
    /// The digest of the content, equal for all resends of it.
    pub digest: ContentDigest,
    /// Crashes during which the content was running.
    pub crashes: u32,
    /// Upstreams on which the call has failed.
    pub avoid: SmallVec<[UpstreamName; 2]>,
    /// The end of the previous attempt of the call, in case its own `Finish` arrives later.
    pub ended: Option<Finish>,
    /// The priority of the route, 0 being the highest; `None` if the route has none.
    pub priority: Option<u32>,
    /// The only upstream that may run the call, unless it has ended; `None` if any may.
    pub only: Option<UpstreamName>,
    /// Where the stream began; `None` if upstreams of any software version may run the call.
    pub origin: Option<StreamOrigin>,
}

/// Reports the end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Finish {
    /// The pool of the upstream.
    pub pool: PoolKey,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// The upstream that ran it.
    pub upstream: UpstreamName,
    /// How it ended.
    pub result: AttemptResult,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that the upstream found in its cache.
    pub cached_tokens: u64,
    /// Response tokens.
    pub answer_tokens: u64,
    /// Time from dispatch to the first token; 0 if none arrived.
    pub first_token_us: u64,
    /// Time from dispatch to the end of the attempt.
    pub total_us: u64,
}

/// How an attempt ended, for the health and load of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AttemptResult {
    /// The response was complete.
    Complete,
    /// The upstream refused the connection.
    NotConnected,
    /// The upstream failed or refused the request.
    Failed,
    /// The upstream refused the request because it was at capacity.
    Full,
    /// The connection broke.
    Lost,
    /// The caller disconnected or the attempt was never sent.
    Unused,
    /// The upstream did not accept a connection in time.
    Unreachable,
    /// The upstream accepted the request and then sent nothing for too long.
    Silent,
    /// Another process listens at the address of the upstream.
    Replaced,
}

/// A running attempt, reported to a new owner of its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct InFlight {
    /// The running attempt.
    pub attempt: AttemptId,
    /// The upstream that runs it.
    pub upstream: UpstreamName,
    /// The account to charge; `None` on routes that need no key.
    pub account: Option<AccountName>,
    /// The program; `None` if the call belongs to none.
    pub program: Option<ProgramKey>,
    /// The digest of the content.
    pub digest: ContentDigest,
    /// Crashes during which the content was running.
    pub crashes: u32,
}
