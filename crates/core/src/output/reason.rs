//! Reasons for decisions, as logged and reported in metrics.

use derive_more::Display;
use smallvec::SmallVec;

use super::format::versions_text;
use crate::ids::{SoftwareVersion, StreamOrigin};

/// Where a new home recovered the state of a program from.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverSource {
    /// The record of an entry VM that had served the program.
    #[display("a witness")]
    Witness,
    /// The signed continuation sent by the caller.
    #[display("its continuation")]
    Continuation,
    /// A `Settle` message in which an entry VM reported the end of a turn.
    #[display("the end of a turn")]
    Settle,
    /// A hand-over by the previous home.
    #[display("its old home")]
    HandOver,
}

/// Why a program was closed.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The caller ended it.
    #[display("ended by its caller")]
    Ended,
    /// It had no calls for the duration of its lease.
    #[display("its lease ended")]
    LeaseExpired,
    /// It used up its budget of tokens, turns or wall time.
    #[display("its budget is used up")]
    Exhausted,
    /// The caller started a new program under the same name.
    #[display("its name has a new program")]
    Replaced,
}

/// Why an upstream was chosen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum PlacementReason {
    /// It has the fewest running calls relative to its limit.
    #[display("fewest running")]
    LeastRunning,
    /// It is next in round-robin order.
    #[display("next in turn")]
    InTurn,
    /// It has the lowest estimated cost of waiting and processing the prompt.
    #[display("lowest cost {cost_us} us")]
    LowestCost {
        /// The estimated cost in microseconds.
        cost_us: u64,
    },
    /// It has the lowest cost because it may have a prefix of the prompt cached.
    #[display("cached prefix of {cached_tokens} tokens, cost {cost_us} us")]
    CachedPrefix {
        /// Prompt tokens expected to be cached.
        cached_tokens: u64,
        /// The estimated cost in microseconds.
        cost_us: u64,
    },
    /// The content was running in earlier crashes, so it gets the upstream exclusively.
    #[display("alone after {crashes} crashes")]
    Alone {
        /// Crashes during which the content was running.
        crashes: u32,
    },
    /// The call has run there and may not run on another upstream.
    #[display("the only upstream allowed")]
    OnlyAllowed,
    /// It repeats an earlier choice, since the message with that choice may have been lost.
    #[display("chosen before")]
    Repeated,
    /// The pool owner did not answer, so the entry VM chose by its own running calls.
    #[display("pool owner silent, fewest own calls")]
    OwnerSilent,
}

impl PlacementReason {
    /// Returns the metric label, a short name without numbers.
    pub fn label(&self) -> &'static str {
        match self {
            Self::LeastRunning => "least_running",
            Self::InTurn => "in_turn",
            Self::LowestCost { .. } => "lowest_cost",
            Self::CachedPrefix { .. } => "cached_prefix",
            Self::Alone { .. } => "alone",
            Self::OnlyAllowed => "only_allowed",
            Self::Repeated => "repeated",
            Self::OwnerSilent => "owner_silent",
        }
    }
}

/// Why a failed call is or is not retried.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The request did not run, so a retry is safe.
    #[display("did not run")]
    NotRun,
    /// The request is idempotent.
    #[display("idempotent")]
    Idempotent,
    /// The request may have run and is not idempotent.
    #[display("may not be repeated")]
    NotIdempotent,
    /// Part of the response has reached the caller.
    #[display("response has started")]
    Forwarded,
    /// The call has reached its maximum number of attempts.
    #[display("too many attempts")]
    TooManyAttempts,
    /// The call's deadline has passed.
    #[display("no time left")]
    TooLate,
    /// The turns before this one, or its own, cannot be read or stored.
    #[display("history not usable")]
    History,
    /// The pool's retry budget is used up.
    #[display("retry budget used up")]
    OverBudget,
}

/// The evidence for or against a crash after a connection broke.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The upstream refuses new connections.
    #[display("connections refused")]
    Refused,
    /// The upstream's process has restarted.
    #[display("process restarted")]
    Restarted,
    /// The upstream did not accept a connection while it was examined.
    #[display("probes without answer")]
    ProbeSilent,
    /// The upstream accepts new connections.
    #[display("new connections work")]
    Answering,
    /// The upstream accepts connections of another VM, but not of this one.
    #[display("another VM reaches it")]
    ReachedByOther,
    /// Neither this VM reaches the upstream, nor one that can be asked.
    #[display("no other VM can tell")]
    Unconfirmed,
}

/// Where this VM learned of the limit of an upstream.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// A response of the upstream to this VM.
    #[display("a response")]
    Response,
    /// A summary of another VM.
    #[display("another VM")]
    Peer,
}

/// What is known about where a stream began that its caller takes up.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum OriginEvidence {
    /// It was recorded when the stream began.
    #[display("{_0}")]
    Recorded(StreamOrigin),
    /// No other service and software version can have begun it.
    #[display("unknown origin, which must be {_0}")]
    Inferred(StreamOrigin),
    /// Several software versions, or none that this VM knows of, can have begun it.
    #[display("unknown origin, versions seen: {}", versions_text(versions))]
    Unknown {
        /// Software versions that the upstreams of the service have had lately.
        versions: SmallVec<[SoftwareVersion; 2]>,
    },
}
