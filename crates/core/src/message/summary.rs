//! Summaries, in which VMs report their state to each other at short intervals.
//!
//! A summary may be lost, duplicated or delayed, so counts are totals since the start of the
//! sender's process, and rows are repeated until the receiver has acknowledged a summary that
//! held them.
//!
//! The serialized layout of [`Summary`] is fixed: builds that run side by side read it by position.
//! Fields that are skipped by serde travel in sections of their own behind it.

use std::sync::Arc;

use crate::config::FleetConfig;
use crate::ids::{
    AccountName, ContentDigest, DomainName, Incarnation, ProgramKey, Revision, UpstreamName, VmName,
};
use crate::input::{Evacuations, StorageVm, UpstreamList};
use crate::message::{PoolDemand, UpstreamPace, UpstreamReport};

/// One VM's report of its state to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Summary {
    /// The name of the sender.
    pub from: VmName,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The address at which the sender receives summaries, as `ip:port`.
    pub address: String,
    /// Number of the summary among those of the sender's process.
    pub round: u64,
    /// Acknowledges the last summary that arrived from the receiver; `None` if none did.
    pub echo: Option<SummaryAck>,
    /// Whether the sender's process is about to end.
    pub is_leaving: bool,
    /// Whether the sender knows all programs that ran within their retention time.
    pub knows_programs: bool,
    /// Whether the sender knows of VMs with a disk.
    pub knows_keepers: bool,
    /// The configuration revision in force on the sender.
    pub revision: Revision,
    /// Age of the last read of the configuration that the sender knows of, by any VM; `None` if
    /// it knows of none.
    pub config_age_us: Option<u64>,
    /// The version of the upstream list in force on the sender.
    pub list: ListVersion,
    /// Age of the last read of the upstream list that the sender knows of, by any VM; `None` if
    /// it knows of none.
    pub list_age_us: Option<u64>,
    /// Total calls that the sender has admitted, by account.
    pub admitted: Vec<(AccountName, u64)>,
    /// Running calls of the sender, by upstream; upstreams without any are left out.
    pub running: Vec<(UpstreamName, u32)>,
    /// Programs whose usage has changed.
    pub programs: Vec<ProgramUse>,
    /// Contents that were running during upstream crashes, with the number of crashes.
    pub suspects: Vec<(ContentDigest, u32)>,
    /// Quarantined contents, with the remaining time in milliseconds.
    pub quarantined: Vec<(ContentDigest, u64)>,
    /// Names and addresses of other VMs, for a receiver that has just started.
    pub others: Vec<(VmName, String)>,
    /// Limits that upstreams have stated, and the ends of limits.
    pub limits: Vec<StatedLimit>,
    /// Whether the sender had calls lately for upstreams that are limited.
    pub uses_limited: bool,
    /// Where the sender is and accepts tunnels; left out once the receiver has acknowledged it.
    pub contact: Option<TunnelContact>,
    /// Whether the sender has lost its links to all upstreams.
    pub is_cut_off: bool,
    /// Upstreams to which the sender has lost its link.
    pub lost_links: Vec<UpstreamName>,
    /// Total calls that the sender has placed on upstreams while they were limited.
    pub placed: Vec<(UpstreamName, u64)>,
    /// Calls of the sender that wait for an upstream, by pool; pools without any are left out.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub demand: Vec<PoolDemand>,
    /// What the sender's calls have shown about upstreams.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub reports: Vec<UpstreamReport>,
    /// Upstreams that are paced.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub paces: Vec<UpstreamPace>,
    /// Whether the sender's build does not report `placed`, so that its calls to limited upstreams
    /// are unknown.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub omits_placed: bool,
}

/// Where a VM is and accepts tunnels to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TunnelContact {
    /// The failure domain of the VM.
    pub failure_domain: DomainName,
    /// The address at which it accepts tunnels, as `ip:port`.
    pub address: String,
}

/// What an upstream has stated about the rate that it takes from all VMs together.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct StatedLimit {
    /// The upstream that stated it.
    pub upstream: UpstreamName,
    /// Start of its process, in Unix time; 0 if unknown.
    pub started_unix_ms: u64,
    /// The rate in thousandths of a call per second; `None` if there is no limit any more.
    pub limit_mcalls_per_s: Option<u64>,
    /// Age of the statement.
    pub age_us: u64,
}

/// Acknowledges a summary of the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct SummaryAck {
    /// The incarnation of the receiver's process.
    pub incarnation: Incarnation,
    /// The `round` of the acknowledged summary.
    pub round: u64,
}

/// Identifies a version of the upstream list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListVersion {
    /// The revision of the list.
    pub revision: u64,
    /// A digest of its upstreams.
    pub digest: u64,
}

/// What the sender has used of a program's budget.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ProgramUse {
    /// The program that has the budget.
    pub program: ProgramKey,
    /// The sequence of turns that the program began with; `None` if unknown.
    pub main_line: Option<u64>,
    /// Total tokens that the sender has forwarded to callers.
    pub tokens: u64,
    /// Whether the program's budget is used up.
    pub is_stopped: bool,
    /// Whether the program has a record in the store.
    pub has_record: bool,
    /// The engine that ran the sender's last turn of the program, and the tokens that it may have
    /// cached.
    pub cached: Option<(UpstreamName, u64)>,
}

/// The state of a VM, sent to a VM that lacks part of it.
///
/// It is sent as JSON: fields that the sender's build does not know get their default.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(
    feature = "serde",
    derive(serde::Serialize, serde::Deserialize),
    serde(default)
)]
pub struct Snapshot {
    /// The configuration in force; `None` if there is none yet.
    pub fleet: Option<Arc<FleetConfig>>,
    /// Age of the last read of the configuration; `None` if there was none.
    pub config_age_us: Option<u64>,
    /// The upstream list in force.
    pub list: Arc<UpstreamList>,
    /// Age of the last read of the upstream list; `None` if there was none.
    pub list_age_us: Option<u64>,
    /// Programs that ran within their retention time.
    pub programs: Vec<ProgramSpent>,
    /// Counted memory losses since which `programs` is complete; `None` if it is incomplete.
    pub losses: Option<u32>,
    /// VMs with a disk.
    pub keepers: Arc<Vec<StorageVm>>,
    /// The evacuations that the sender knows of, which mark the upstreams of the list; `None` if the
    /// sender is of a build that knows neither evacuations nor homes.
    #[cfg_attr(feature = "serde", serde(default))]
    pub evacuations: Option<Evacuations>,
}

/// What all VMs together have used of a program's budget.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ProgramSpent {
    /// The program that has the budget.
    pub program: ProgramKey,
    /// Its whole token budget.
    pub budget_tokens: u64,
    /// The sequence of turns that the program began with; `None` if unknown.
    pub main_line: Option<u64>,
    /// Counted memory losses when the program was first seen; usage before them is unknown.
    pub losses: u32,
    /// Total tokens forwarded to callers, by VM and incarnation.
    pub spent: Vec<(VmName, Incarnation, u64)>,
    /// Whether the program's budget is used up.
    pub is_stopped: bool,
    /// Whether the program has a record in the store.
    pub has_record: bool,
}
