//! Relayed calls, and the events of VMs that relay them: store answers and peer state.

use std::collections::BTreeSet;
use std::sync::Arc;

use bon::Builder;

use crate::config::{FleetConfig, UpstreamConfig};
use crate::ids::{
    DomainName, ModelName, ProgramKey, ProgramName, ServiceName, StreamOrigin, VmName,
};
use crate::message::{Snapshot, Summary};
use crate::tables::BudgetRecord;

/// Data of a relayed call beyond its target.
///
/// Such a call has a new ID for each attempt of its caller, carries its whole prompt, and needs
/// neither a home nor a permit.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct RelayedCall {
    /// Time until which the caller waits, on this VM's clock.
    pub deadline_us: u64,
    /// Hash that selects one of the route's backends by weight.
    pub spread_hash: u64,
    /// The requested model; `None` for plain services.
    pub model: Option<ModelName>,
    /// The program; `None` if the call belongs to none.
    pub program: Option<ProgramName>,
    /// Identifies the sequence of turns that the call belongs to; each sub-agent of a program has
    /// its own sequence.
    pub line: Option<u64>,
    /// Tokens that all turns of the program may generate; `None` if the call is no turn.
    pub budget_tokens: Option<u64>,
    /// Time until which the program should be finished, on this VM's clock; `None` if the caller
    /// states none.
    pub program_deadline_us: Option<u64>,
    /// The caller's estimate of the tokens in the response; `None` if it states none.
    pub expected_answer_tokens: Option<u64>,
    /// Whether the call begins a stream or goes on with one.
    #[builder(default)]
    pub stream_start: StreamStart,
}

/// Where the stream of a call starts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum StreamStart {
    /// At its first event: the caller has received nothing.
    #[default]
    New,
    /// After events that the caller has received from upstreams of this origin.
    ResumedFrom(StreamOrigin),
    /// After events that the caller has received from upstreams that this VM does not know, nor do
    /// the storage VMs that would know.
    ResumedUnknown,
    /// After events that the caller has received from upstreams that this VM does not know and
    /// could not ask for.
    ResumedUnverified,
}

/// An entry of the upstream list, written by the upstream itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListedUpstream {
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// The upstream's own configuration.
    pub config: UpstreamConfig,
}

/// The upstream list at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UpstreamList {
    /// Revision of the list, which grows with each change in the store.
    pub revision: u64,
    /// The upstreams, ordered by name.
    pub upstreams: Vec<ListedUpstream>,
}

/// The failure domains to whose upstreams nothing new may be sent, as the operator asks.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Evacuations {
    /// Revision of the store at which they were read; 0 if they never were.
    pub revision: u64,
    /// The evacuated failure domains.
    pub domains: BTreeSet<DomainName>,
}

/// A VM that has registered in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredVm {
    /// The name of the VM.
    pub vm: VmName,
    /// The address at which it receives summaries, as `ip:port`.
    pub address: String,
}

/// A VM with a disk, which stores charge records.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct StorageVm {
    /// The name of the VM.
    pub vm: VmName,
    /// The address at which it receives records, as `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: DomainName,
}

/// An answer of the platform's store to a `SourceRequest`.
///
/// The answers with the configuration or the upstream list carry the time at which the request
/// was sent: they include every write that the store acknowledged before then.
#[derive(Debug, Clone)]
pub enum SourceEvent {
    /// The published configuration; `None` if there is none yet.
    Config {
        /// When the request was sent, on this VM's clock.
        sent_us: u64,
        /// The configuration as the store has it.
        fleet: Option<Arc<FleetConfig>>,
    },
    /// The upstream list.
    Upstreams {
        /// When the request was sent, on this VM's clock.
        sent_us: u64,
        /// The list as the store has it.
        list: Arc<UpstreamList>,
        /// The evacuations, read at the same time; `None` if they were not asked for or could not
        /// be read.
        evacuations: Option<Evacuations>,
    },
    /// The evacuations, if they were read but the list that they were asked for with was not.
    Evacuations(Evacuations),
    /// The registered VMs, including this one.
    ///
    /// Answers the wishes for the list that came before the request was sent.
    Vms {
        /// VMs that relay calls.
        relays: Vec<RegisteredVm>,
        /// VMs with a disk.
        keepers: Vec<StorageVm>,
    },
    /// The result of a reservation of budget tokens.
    Reserved {
        /// The program that has the budget.
        program: ProgramKey,
        /// The reserved tokens; 0 if the budget does not cover one more turn.
        tokens: u64,
    },
    /// The budget records, read after all VMs lost their in-memory state.
    Losses {
        /// How often that happened within the retention time of programs.
        losses: u32,
        /// The budget records in the store.
        records: Vec<BudgetRecord>,
    },
    /// A request failed or got no usable answer.
    Failed(SourceRequestKind),
}

/// The kind of a request to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceRequestKind {
    /// Reads the published configuration.
    Config,
    /// Reads the upstream list.
    Upstreams,
    /// Registers this VM and lists the registered VMs.
    Vms,
    /// Counts a memory loss and reads the budget records.
    Losses,
    /// Reserves tokens of a program's budget.
    Budget(ProgramKey),
}

/// State received from another VM.
#[derive(Debug, Clone)]
pub enum PeerEvent {
    /// A summary that the VM sent.
    Summary(Box<Summary>),
    /// A VM sent a datagram that this build cannot read.
    Unreadable {
        /// The address from which it came, as `ip:port`.
        address: Arc<str>,
    },
    /// The snapshot that this VM requested.
    Snapshot {
        /// When it was requested, on this VM's clock.
        sent_us: u64,
        /// The other VM's state.
        snapshot: Box<Snapshot>,
    },
    /// A requested snapshot did not arrive.
    SnapshotFailed,
}
