//! Charge records.

use crate::ids::{AccountName, AttemptId, ProgramKey, UpstreamName};

/// The record of one call that ran, or may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Charge {
    /// The last attempt that ran or may have run; its call identifies the charge.
    pub attempt: AttemptId,
    /// The account that is charged; absent on routes open to all.
    pub account: Option<AccountName>,
    /// The program and turn, if the call belonged to one.
    pub program: Option<(ProgramKey, u32)>,
    /// The upstream that ran it.
    pub upstream: UpstreamName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the response.
    pub answer_tokens: u64,
    /// How the attempt ended.
    pub outcome: ChargeOutcome,
}

/// How a charged attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ChargeOutcome {
    /// The response was complete.
    Complete,
    /// The caller left; the tokens so far are charged.
    Abandoned,
    /// The upstream failed after a part of the response reached the caller.
    Interrupted,
    /// The upstream accepted the request and answered with an error of its own.
    Failed,
    /// The answer was lost; only the upstream knows whether the request ran.
    Unknown,
}

impl ChargeOutcome {
    /// Returns whether the request certainly ran; other records are not billed.
    pub fn is_certain(self) -> bool {
        self != Self::Unknown
    }

    /// Returns the name of the outcome in records.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Abandoned => "abandoned",
            Self::Interrupted => "interrupted",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}
