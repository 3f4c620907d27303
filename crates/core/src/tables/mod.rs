//! Tables of entities.
//!
//! The control thread owns all tables. Systems look rows up by key and keep
//! work lists of the rows that changed, so that no decision scans a table.

mod account;
mod bucket;
mod budget;
mod call;
mod footprint;
mod health;
mod homes;
mod lease;
mod limit;
mod loan;
mod membership;
mod order;
mod peer;
mod pool;
mod program;
mod queue;
mod retry;
mod share;
mod source;
mod suspect;
mod table;
mod takeover;
mod timers;
mod upstream;
mod view;
mod vm;

pub use account::{Account, Key};
pub use bucket::{Bucket, NCALLS_PER_CALL};
pub use budget::{Budget, BudgetDecision, BudgetRecord, Coverage, ProcessUsage};
pub use call::{Call, LastRun, PlacementState, RelayState, Stage};
pub use footprint::{CacheHint, PlacementHistory};
pub use health::{Health, LostAttempt};
pub use homes::{
    HandOverProgress, Homes, PendingProgramRequest, PendingSettle, Release, Tombstone, Transfer,
    WaitingCall, WitnessRecord,
};
pub use lease::Lease;
pub use limit::{ConcurrencyLimit, LimitReason};
pub use loan::{Holder, Loan, OwnedAccount, Ownership, RateLimit, Takeover};
pub use membership::{
    Departed, Departure, HeartbeatPeers, Membership, PastView, PendingStoreRequest, PlatformList,
    StoreLink, StoreRequestKind, Suspicion, UnresolvedWrite,
};
pub use order::{PendingOrder, ServiceOrders};
pub use peer::{Peer, Peering};
pub use pool::Pool;
pub use program::{FinishedTurn, Links, MAX_SERVED, Phase, Program, Turn, UnknownTurn, Usage};
pub use queue::{Candidates, LaneOrder, Queue, QueuedCall, Rank};
pub use retry::RetryBudget;
pub use share::{HeldGrant, Meter, ReplicatedBucket, Share};
pub use source::{ProgramKnowledge, ReadState, Source};
pub use suspect::{Quarantine, Suspect};
pub use table::Table;
pub use timers::{Timer, Timers};
pub use upstream::{RunningAttempt, Upstream};
pub(crate) use view::hash_name;
pub use view::{Member, View, ViewChange, ViewDelta};
pub use vm::{HeartbeatRequest, Vm};

use std::sync::Arc;

use crate::config::{FleetConfig, HostRoute, ServiceConfig};
use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, Epoch, KeyId, ModelName, PoolKey, ProgramKey,
    Revision, ServiceName, UpstreamName, VmName,
};
use crate::message::Finish;

/// All state of the core of one VM.
#[derive(Debug, Default)]
pub struct Tables {
    /// The configuration in force.
    pub fleet: Arc<FleetConfig>,
    /// The newest revision that this VM has heard of.
    pub newest_revision: Revision,
    /// The revision that was last asked for, and when.
    pub config_requested: Option<(Revision, u64)>,
    /// Client accounts.
    pub accounts: Table<AccountName, Account>,
    /// What this VM may spend of client accounts.
    pub shares: Table<AccountName, Share>,
    /// Client accounts that this VM owns.
    pub owned_accounts: Table<AccountName, OwnedAccount>,
    /// The owner's side of the rates beside its rows.
    pub ownership: Ownership,
    /// Callers' keys.
    pub keys: Table<KeyId, Key>,
    /// Services.
    pub services: Table<ServiceName, ServiceConfig>,
    /// The service that offers each model.
    pub models: Table<ModelName, ServiceName>,
    /// Queues of the pools that this VM owns.
    pub pools: Table<PoolKey, Pool>,
    /// Upstreams.
    pub upstreams: Table<UpstreamName, Upstream>,
    /// Orders to the engines of services whose orders this VM gives.
    pub orders: Table<ServiceName, ServiceOrders>,
    /// Programs whose home is this VM.
    pub programs: Table<ProgramKey, Program>,
    /// What this VM keeps as home and as entry VM besides programs and calls.
    pub homes: Homes,
    /// Calls that arrived at this VM.
    pub calls: Table<CallId, Call>,
    /// Attempts placed by this VM as owner of their pool.
    pub running: Table<AttemptId, RunningAttempt>,
    /// Ended attempts whose end the owner of their pool has not confirmed.
    pub finishing: Table<AttemptId, Finish>,
    /// What this VM, as owner of pools, remembers about programs.
    pub placement_histories: Table<ProgramKey, PlacementHistory>,
    /// Contents that were running when an upstream crashed.
    pub suspects: Table<ContentDigest, Suspect>,
    /// Contents that no VM runs.
    pub quarantine: Table<ContentDigest, Quarantine>,
    /// The view in force.
    pub view: View,
    /// The epoch of the view that placement has acted on.
    pub placement_epoch: Epoch,
    /// The version of the view object in the store; 0 if unknown.
    pub view_version: u64,
    /// What this VM knows of others that it has heard from.
    pub vms: Table<VmName, Vm>,
    /// State of the membership system.
    pub membership: Membership,
    /// The lease under which this VM acts as owner and home.
    pub lease: Lease,
    /// Due times.
    pub timers: Timers,
    /// Routes by host, longest prefix first.
    pub hosts: Table<Arc<str>, Vec<Arc<HostRoute>>>,
    /// Budgets of programs that have no home.
    pub budgets: Table<ProgramKey, Budget>,
    /// The other VMs under `Coordination::Peers`.
    pub peering: Peering,
    /// What was read from the platform's store, and when.
    pub source: Source,
}
