//! Charge records and their way to the VMs with a disk.
//!
//! One record is made for each request that ran. Records wait in memory and go to a VM with a
//! disk in batches; a batch counts as kept when that VM has synced it.

mod rpc;
mod writer;

pub(crate) use rpc::{ChargeBatch, ChargeRpcClient, ChargeRpcServer};
pub(crate) use writer::ChargeWriter;

use knapweeddale_core::Charge;
use knapweeddale_core::output::ChargeOutcome;
use serde::{Deserialize, Serialize};

use crate::control::account_label;

/// A request that ran, as it is billed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRecord {
    /// The caller's identity of the request.
    pub request: String,
    /// The attempt, which names the VM's start and the call.
    pub attempt: String,
    /// The account; `-` on routes open to all.
    pub account: String,
    /// The program, if the request belongs to one.
    pub program: Option<String>,
    /// The upstream that ran the request.
    pub upstream: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens passed to the caller.
    pub answer_tokens: u64,
    /// How the request ended.
    pub outcome: String,
}

impl ChargeRecord {
    /// Makes the record of a charge.
    pub(crate) fn new(request: &str, charge: &Charge) -> Self {
        let program = charge.program.as_ref();
        Self {
            request: request.to_owned(),
            attempt: charge.attempt.to_string(),
            account: account_label(charge.account.as_ref()).to_owned(),
            program: program.map(|(program, _)| program.name.to_string()),
            upstream: charge.upstream.to_string(),
            prompt_tokens: charge.prompt_tokens,
            answer_tokens: charge.answer_tokens,
            outcome: outcome_label(charge.outcome).to_owned(),
        }
    }
}

/// Returns the name of an outcome.
fn outcome_label(outcome: ChargeOutcome) -> &'static str {
    match outcome {
        ChargeOutcome::Complete => "complete",
        ChargeOutcome::Interrupted => "interrupted",
        ChargeOutcome::Abandoned => "abandoned",
    }
}
