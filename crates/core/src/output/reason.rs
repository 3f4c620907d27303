//! Why something was decided.

use derive_more::Display;

/// What a home took the state of a program from.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverSource {
    /// An entry VM that had served it.
    #[display("a witness")]
    Witness,
    /// The continuation that its caller carried.
    #[display("its continuation")]
    Continuation,
    /// The end of a turn that its entry VM reported.
    #[display("the end of a turn")]
    Settle,
    /// Its old home.
    #[display("its old home")]
    HandOver,
}

/// Why a program is over.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum OverReason {
    /// Its caller ended it.
    #[display("ended by its caller")]
    Ended,
    /// It had no calls for the time of its lease.
    #[display("its lease ended")]
    Lapsed,
    /// It used up its tokens, turns or time.
    #[display("its budget is used up")]
    Exhausted,
    /// Another program runs under its name.
    #[display("its name has a new program")]
    Replaced,
}

/// Why an upstream was chosen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum PlacementReason {
    /// It has the fewest calls running for its limit.
    #[display("fewest running")]
    LeastRunning,
    /// It is next in turn.
    #[display("next in turn")]
    InTurn,
    /// It has the lowest cost of waiting and reading the prompt.
    #[display("lowest cost {cost_us} us")]
    LowestCost {
        /// The cost.
        cost_us: u64,
    },
    /// It has the lowest cost because it may hold a prefix of the prompt.
    #[display("cached prefix of {cached_tokens} tokens, cost {cost_us} us")]
    CachedPrefix {
        /// Tokens expected in the cache.
        cached_tokens: u64,
        /// The cost.
        cost_us: u64,
    },
    /// The content was in crashes and runs alone.
    #[display("alone after {crashes} crashes")]
    Alone {
        /// Crashes in which it was seen.
        crashes: u32,
    },
    /// The call ran there before and may run nowhere else.
    #[display("the only upstream allowed")]
    OnlyAllowed,
    /// It was chosen before; the first message may be lost.
    #[display("chosen before")]
    Repeated,
    /// The owner of the pool did not answer.
    #[display("pool owner silent, fewest own calls")]
    OwnerSilent,
}

impl PlacementReason {
    /// Returns a short name without figures, as a label of metrics.
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

/// Why a failed call is or is not tried again.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The request did not run.
    #[display("did not run")]
    NotRun,
    /// The call is idempotent.
    #[display("idempotent")]
    Idempotent,
    /// The call may not be repeated.
    #[display("may not be repeated")]
    NotIdempotent,
    /// A part of the response reached the caller.
    #[display("response has started")]
    Forwarded,
    /// The call failed too often.
    #[display("too many attempts")]
    TooManyAttempts,
    /// The caller waits no longer.
    #[display("no time left")]
    TooLate,
    /// The retry budget is used up.
    #[display("retry budget used up")]
    OverBudget,
}

/// What shows whether a broken connection was a crash.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// New connections are refused.
    #[display("connections refused")]
    Refused,
    /// The process has restarted.
    #[display("process restarted")]
    Restarted,
    /// Several attempts were lost at once.
    #[display("several attempts lost at once")]
    SeveralLost,
    /// The probe had no answer.
    #[display("probe without answer")]
    ProbeSilent,
    /// New connections work and nothing else was lost.
    #[display("new connections work")]
    Answering,
}
