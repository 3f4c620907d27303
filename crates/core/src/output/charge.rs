//! Charge records.

use crate::ids::{AccountName, AttemptId, ProgramKey, UpstreamName};

/// The record of one call that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Charge {
    /// The attempt that ran; its call identifies the charge.
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
}
