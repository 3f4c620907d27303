//! Decisions about claims on budgets.

use derive_more::Display;
use smallvec::SmallVec;

use super::format::claims_text;
use crate::ids::{CallId, ProgramKey};
use crate::usage::ProcessClaim;

/// A decision about a claim that storage VMs record.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Storage VMs have recorded the claim and do not let its turn use the free part.
    #[display(
        "claim of call {call} of {program} not granted, {claimed_tokens} of {budget_tokens} tokens claimed by {}",
        claims_text(claims)
    )]
    NotGranted {
        /// The call of the turn.
        call: CallId,
        /// The program that has the budget.
        program: ProgramKey,
        /// Tokens that all processes have claimed.
        claimed_tokens: u64,
        /// The whole budget of the program.
        budget_tokens: u64,
        /// The claim of each process.
        claims: SmallVec<[ProcessClaim; 2]>,
    },
    /// Too few storage VMs have recorded the claim, some perhaps without an answer.
    #[display("claim of call {call} of {program} unanswered")]
    Unanswered {
        /// The call of the turn.
        call: CallId,
        /// The program that has the budget.
        program: ProgramKey,
    },
}

impl ClaimDecision {
    /// Returns the call that the decision is about.
    pub fn call(&self) -> CallId {
        match self {
            Self::NotGranted { call, .. } | Self::Unanswered { call, .. } => *call,
        }
    }
}
