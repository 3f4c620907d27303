//! What a VM tells the others about itself at short intervals.
//!
//! A summary may be lost, doubled or late: counts are totals since the start of the sender's
//! process, and rows are repeated until the receiver has confirmed a summary that held them.

use std::sync::Arc;

use crate::config::FleetConfig;
use crate::ids::{
    AccountName, ContentDigest, Incarnation, ProgramKey, Revision, UpstreamName, VmName,
};
use crate::input::{RecordKeeper, UpstreamList};

/// What a VM tells another one about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Summary {
    /// The sender.
    pub from: VmName,
    /// The start of the sender's process.
    pub incarnation: Incarnation,
    /// The address at which the sender takes summaries, as `ip:port`.
    pub address: String,
    /// Counts the summaries of the sender's process.
    pub round: u64,
    /// The last summary of the receiver that has arrived at the sender.
    pub echo: Option<Echo>,
    /// Whether the sender is about to end.
    pub is_leaving: bool,
    /// Whether the sender knows all programs that have run within their retention.
    pub knows_programs: bool,
    /// Whether the sender knows of VMs with a disk.
    pub knows_keepers: bool,
    /// The revision in force at the sender.
    pub revision: Revision,
    /// Age of the last read of the configuration that the sender knows of.
    pub config_age_us: Option<u64>,
    /// The list of upstreams in force at the sender.
    pub list: ListStamp,
    /// Age of the last read of the list that the sender knows of.
    pub list_age_us: Option<u64>,
    /// Calls of accounts that the sender has admitted, as totals.
    pub admitted: Vec<(AccountName, u64)>,
    /// Calls of the sender that run on upstreams; upstreams without any are left out.
    pub running: Vec<(UpstreamName, u32)>,
    /// Programs whose use has changed.
    pub programs: Vec<ProgramUse>,
    /// Contents that ran in crashes of upstreams, with the number of crashes.
    pub suspects: Vec<(ContentDigest, u32)>,
    /// Contents that must not run, with the remaining time in milliseconds.
    pub quarantined: Vec<(ContentDigest, u64)>,
    /// Other VMs with their addresses, for a receiver that has just started.
    pub others: Vec<(VmName, String)>,
}

/// Names a summary of the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Echo {
    /// The start of the receiver's process.
    pub incarnation: Incarnation,
    /// The number of the summary.
    pub round: u64,
}

/// Tells lists of upstreams apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListStamp {
    /// The revision of the list.
    pub revision: u64,
    /// A digest of its upstreams.
    pub digest: u64,
}

/// What the sender has used of a program's budget.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ProgramUse {
    /// The program.
    pub program: ProgramKey,
    /// The line of turns that the program began with.
    pub main_line: Option<u64>,
    /// Tokens that the sender has passed to callers, as a total.
    pub tokens: u64,
    /// Whether the budget is used up.
    pub is_stopped: bool,
    /// Whether the program has a record in the store.
    pub has_record: bool,
    /// The engine that ran the last turn at the sender, and the tokens it may have cached.
    pub cached: Option<(UpstreamName, u64)>,
}

/// The state of a VM, for one that lacks a part of it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Snapshot {
    /// The configuration in force.
    pub fleet: Option<Arc<FleetConfig>>,
    /// Age of the last read of the configuration.
    pub config_age_us: Option<u64>,
    /// The list of upstreams in force.
    pub list: Arc<UpstreamList>,
    /// Age of the last read of the list.
    pub list_age_us: Option<u64>,
    /// Programs that have run within their retention.
    pub programs: Vec<ProgramSpent>,
    /// Losses of memory since which `programs` is complete; `None` if it is not.
    pub losses: Option<u32>,
    /// VMs with a disk.
    pub keepers: Arc<Vec<RecordKeeper>>,
}

/// What all VMs have used of a program's budget.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ProgramSpent {
    /// The program.
    pub program: ProgramKey,
    /// Its budget.
    pub budget_tokens: u64,
    /// The line of turns that it began with.
    pub main_line: Option<u64>,
    /// Losses of memory since which it is known.
    pub losses: u32,
    /// Tokens passed to callers by each process.
    pub spent: Vec<(VmName, Incarnation, u64)>,
    /// Whether the budget is used up.
    pub is_stopped: bool,
    /// Whether the program has a record in the store.
    pub has_record: bool,
}
