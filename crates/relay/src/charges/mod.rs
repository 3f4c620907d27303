//! Charge records and their transfer to the VMs with a disk.
//!
//! Each request that ran has one record. A request of which only the upstream knows whether it
//! ran has one too, which is not billed. Records are queued in memory and sent in batches to a VM
//! with a disk; a batch is stored once that VM has synced it to its disk.

mod list;
mod rpc;
mod writer;

pub use list::{ChargeList, ListError, list_charges};
pub(crate) use rpc::{ChargeBatch, ChargeRpcServer, send_batch};
pub(crate) use writer::ChargeWriter;

use knapweeddale_core::Charge;
use knapweeddale_core::output::ChargeOutcome;
use serde::{Deserialize, Serialize};

use crate::control::account_label;
use crate::wall_clock::unix_ms;

/// The stored record of a request that ran or may have run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRecord {
    /// The caller's ID of the request.
    pub request: String,
    /// The ID of the attempt, which contains the VM's incarnation and the call.
    pub attempt: String,
    /// The account; `-` on routes open to all.
    pub account: String,
    /// The program, if the request belongs to one.
    pub program: Option<String>,
    /// The upstream that ran the request.
    pub upstream: String,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens passed to the caller.
    pub answer_tokens: u64,
    /// The label of the request's [`ChargeOutcome`].
    pub outcome: String,
    /// Unix time in milliseconds at which the request ended, on the clock of the VM that relayed
    /// it; 0 in records of earlier versions.
    #[serde(default)]
    pub ended_ms: u64,
}

impl ChargeRecord {
    /// Creates the record of a charge, with the current time as the end of its request.
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
            outcome: charge.outcome.label().to_owned(),
            ended_ms: unix_ms(),
        }
    }

    /// Returns whether the request certainly ran.
    pub fn is_billed(&self) -> bool {
        self.outcome != ChargeOutcome::Unknown.label()
    }
}
