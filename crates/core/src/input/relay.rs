//! Calls that carry their whole prompt and are relayed unchanged.

use std::sync::Arc;

use bon::Builder;

use crate::config::{FleetConfig, UpstreamConfig};
use crate::ids::{DomainName, ModelName, ProgramKey, ProgramName, ServiceName, VmName};
use crate::message::{Snapshot, Summary};
use crate::tables::BudgetRecord;

/// What a relayed call states beside its target.
///
/// Such a call has an identity of its own for each attempt of its caller, carries its whole
/// prompt, and needs neither a home nor a permit.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct RelayedCall {
    /// Until when the caller waits, on this VM's clock.
    pub deadline_us: u64,
    /// Spreads calls over the backends of a route.
    pub spread: u64,
    /// The model that it asks for; absent for plain services.
    pub model: Option<ModelName>,
    /// The program that it belongs to.
    pub program: Option<ProgramName>,
    /// The line of turns that it belongs to; the sub-agents of a program have lines of their own.
    pub line: Option<u64>,
    /// Tokens that all turns of the program may generate; absent if the call is no turn.
    pub budget_tokens: Option<u64>,
}

/// An upstream in the list that upstreams keep of themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListedUpstream {
    /// The service that it runs.
    pub service: ServiceName,
    /// What it states of itself.
    pub config: UpstreamConfig,
}

/// The upstreams that were listed at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UpstreamList {
    /// Grows with each change in the store.
    pub revision: u64,
    /// The upstreams, ordered by name.
    pub upstreams: Vec<ListedUpstream>,
}

/// A VM that has registered in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredVm {
    /// The name.
    pub vm: VmName,
    /// The address at which it takes summaries, as `ip:port`.
    pub address: String,
}

/// A VM with a disk, which keeps charge records.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RecordKeeper {
    /// The name.
    pub vm: VmName,
    /// The address at which it takes records, as `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: DomainName,
}

/// What the platform's store answered.
///
/// Each answer carries when its request was sent: what the store has acknowledged before that
/// moment is in the answer.
#[derive(Debug, Clone)]
pub enum SourceEvent {
    /// The published configuration; `None` if there is none yet.
    Config {
        /// When the request was sent.
        asked_us: u64,
        /// The configuration.
        fleet: Option<Arc<FleetConfig>>,
    },
    /// The list of upstreams.
    Upstreams {
        /// When the request was sent.
        asked_us: u64,
        /// The list.
        list: Arc<UpstreamList>,
    },
    /// The registered VMs; this VM is one of them.
    Vms {
        /// Those that relay calls.
        relays: Vec<RegisteredVm>,
        /// Those with a disk.
        keepers: Vec<RecordKeeper>,
    },
    /// Tokens were reserved for a program.
    Reserved {
        /// The program.
        program: ProgramKey,
        /// The tokens; 0 if the budget does not hold one more turn.
        tokens: u64,
    },
    /// What is known of budgets after this VM and all others have lost their memory.
    Losses {
        /// How often that has happened within the retention of programs.
        losses: u32,
        /// The records of budgets.
        records: Vec<BudgetRecord>,
    },
    /// A request has had no usable answer.
    Failed(SourcePart),
}

/// What a request to the platform's store was about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourcePart {
    /// The published configuration.
    Config,
    /// The list of upstreams.
    Upstreams,
    /// The registration of this VM and the list of the others.
    Vms,
    /// Losses of memory, and the records of budgets.
    Losses,
    /// The budget of a program.
    Budget(ProgramKey),
}

/// What another VM said.
#[derive(Debug, Clone)]
pub enum PeerNews {
    /// Its summary.
    Summary(Box<Summary>),
    /// Its state, as asked for.
    Snapshot {
        /// When this VM asked.
        asked_us: u64,
        /// The state.
        snapshot: Box<Snapshot>,
    },
    /// It did not answer a request for its state.
    NoSnapshot,
}
