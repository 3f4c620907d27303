//! Charge records.

use crate::ids::{AccountName, AttemptId, ProgramKey, UpstreamName};

/// A charge record for one call that ran or may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Charge {
    /// The last attempt that ran or may have run; its call ID identifies the charge.
    pub attempt: AttemptId,
    /// The client account to charge; `None` on routes that need no key.
    pub account: Option<AccountName>,
    /// The program and turn number; `None` if the call belonged to no program.
    pub program: Option<(ProgramKey, u32)>,
    /// The upstream that ran the attempt.
    pub upstream: UpstreamName,
    /// Prompt tokens to charge.
    pub prompt_tokens: u64,
    /// Response tokens to charge.
    pub answer_tokens: u64,
    /// How the attempt ended.
    pub outcome: ChargeOutcome,
}

/// How a charged attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ChargeOutcome {
    /// The upstream delivered the complete response.
    Complete,
    /// The caller disconnected; the tokens generated so far are charged.
    Abandoned,
    /// The upstream failed after part of the response had reached the caller.
    Interrupted,
    /// The upstream accepted the request and returned an error.
    Failed,
    /// The response was lost, so this VM does not know whether the request ran.
    Unknown,
}

impl ChargeOutcome {
    /// Returns whether the request certainly ran. Records of other requests are not billed.
    pub fn is_certain(self) -> bool {
        self != Self::Unknown
    }

    /// Returns the outcome's name in charge records.
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
