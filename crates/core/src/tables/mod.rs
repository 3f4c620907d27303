//! Tables of the entities on which the systems run.
//!
//! The control thread owns all tables. Systems look rows up by key and keep work lists of the
//! rows that changed, so that no decision scans a table.

mod account;
mod bucket;
mod budget;
mod call;
mod deadline_order;
mod demand;
mod examination;
mod health;
mod homes;
mod lease;
mod limit;
mod link;
mod loan;
mod membership;
mod order;
mod pace;
mod peer;
mod placement_history;
mod pool;
mod pool_speed;
mod program;
mod queue;
mod queue_counts;
mod regions;
mod replicated;
mod retry;
mod share;
mod source;
mod speed;
mod suspect;
mod table;
mod takeover;
mod timers;
mod upstream;
mod upstream_rate;
mod urgency;
mod versions;
mod view;
mod vm;

pub use account::{Account, Key};
pub use bucket::{Bucket, NCALLS_PER_CALL};
pub use budget::{Budget, BudgetDecision, BudgetRecord, Coverage, PendingClaim, ProcessUsage};
pub use call::{Call, LastRun, PlacementState, RelayState, Stage};
pub use deadline_order::DeadlineOrder;
pub use demand::{PeerDemand, WaitingCalls};
pub use examination::{Examination, LostAttempt};
pub use health::Health;
pub use homes::{
    HandOverProgress, Homes, PendingProgramRequest, PendingSettle, Release, Tombstone, Transfer,
    WaitingCall, WitnessRecord,
};
pub use lease::Lease;
pub use limit::{ConcurrencyLimit, LimitReason};
pub use link::{Link, ProxyPause, UpstreamLinks};
pub use loan::{Holder, Loan, OwnedAccount, Ownership, RateLimit, Takeover};
pub use membership::{
    Departed, Departure, HeartbeatPeers, Membership, PastView, PendingStoreRequest, PlatformList,
    StoreLink, StoreRequestKind, Suspicion, UnresolvedWrite,
};
pub use order::{PendingOrder, ServiceOrders};
pub use pace::{Deal, Episode, INITIAL_WINDOW_CALLS, Pace, PaceCounts, Pacing, PoolTimes};
pub use peer::{Peer, Peering, RateKey};
pub use placement_history::{CacheHint, PlacementHistory};
pub use pool::Pool;
pub use pool_speed::{PoolSpeed, RouteTurns};
pub use program::{FinishedTurn, Links, MAX_SERVED, Phase, Program, Turn, UnknownTurn, Usage};
pub use queue::{Candidates, LaneOrder, Queue, QueuedCall, Rank};
pub use regions::AllowedRegions;
pub use replicated::{Claim, ReplicatedBucket, Sharing};
pub use retry::RetryBudget;
pub use share::{HeldGrant, Meter, Share};
pub use source::{ListWishes, MAX_READ_GAP_US, ProgramKnowledge, ReadState, Source};
pub use speed::{Speed, SpeedMeans, SpeedSample};
pub use suspect::{Quarantine, Suspect};
pub use table::Table;
pub use timers::{Timer, Timers};
pub use upstream::{LeavingNotice, PeriodCount, RunningAttempt, Upstream};
pub use upstream_rate::{ColdLimit, UpstreamRate};
pub use urgency::{Urgency, UrgencyClass};
pub use versions::{STREAM_LIFE_US, SeenVersions};
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

/// Complete state of the core on one VM.
#[derive(Debug, Default)]
pub struct Tables {
    /// The configuration in force.
    pub fleet: Arc<FleetConfig>,
    /// The newest revision of the configuration that this VM knows to exist.
    pub newest_revision: Revision,
    /// The revision that was last requested from another VM, with the time of the request.
    pub config_requested: Option<(Revision, u64)>,
    /// Client accounts.
    pub accounts: Table<AccountName, Account>,
    /// What this VM may admit for client accounts, and the calls that wait for it.
    pub shares: Table<AccountName, Share>,
    /// Client accounts that this VM owns, with the shares that it has lent.
    pub owned_accounts: Table<AccountName, OwnedAccount>,
    /// State of this VM as owner of accounts that belongs to no single account.
    pub ownership: Ownership,
    /// API keys of callers.
    pub keys: Table<KeyId, Key>,
    /// Published services.
    pub services: Table<ServiceName, ServiceConfig>,
    /// Service that offers each model.
    pub models: Table<ModelName, ServiceName>,
    /// Pools of upstreams, with the queues of those that this VM owns.
    pub pools: Table<PoolKey, Pool>,
    /// Upstreams of all services.
    pub upstreams: Table<UpstreamName, Upstream>,
    /// Upstreams that have stated in a response that they are leaving.
    pub leaving_notices: Table<UpstreamName, LeavingNotice>,
    /// Rates that upstreams have stated in responses, for all VMs together.
    pub upstream_rates: Table<UpstreamName, UpstreamRate>,
    /// Speeds of upstreams, as the calls of all VMs show them.
    pub speeds: Table<UpstreamName, Speed>,
    /// Upstreams that have started or returned lately.
    pub pacing: Pacing,
    /// Software versions that the upstreams of services have had lately.
    pub seen_versions: Table<ServiceName, SeenVersions>,
    /// Orders to the engines of services, for those services whose orders this VM owns.
    pub orders: Table<ServiceName, ServiceOrders>,
    /// Programs whose home is this VM.
    pub programs: Table<ProgramKey, Program>,
    /// State of this VM as home and as entry VM, besides programs and calls.
    pub homes: Homes,
    /// Calls that entered the fleet through this VM.
    pub calls: Table<CallId, Call>,
    /// Running attempts that this VM has placed as owner of their pool.
    pub running: Table<AttemptId, RunningAttempt>,
    /// Ends of attempts that the owner of their pool has not confirmed.
    pub finishing: Table<AttemptId, Finish>,
    /// Earlier placement of programs, recorded by this VM as owner of pools.
    pub placement_histories: Table<ProgramKey, PlacementHistory>,
    /// Upstreams of which it is being examined whether they crashed.
    pub examinations: Table<UpstreamName, Examination>,
    /// What this VM knows of its own links to upstreams.
    pub links: UpstreamLinks,
    /// Contents that were running when an upstream crashed.
    pub suspects: Table<ContentDigest, Suspect>,
    /// Contents that no VM runs, because upstreams crashed with them.
    pub quarantine: Table<ContentDigest, Quarantine>,
    /// The view in force.
    pub view: View,
    /// Epoch of the last view that the placement system has applied.
    pub placement_epoch: Epoch,
    /// Version of the view object in the store; 0 if unknown.
    pub view_version: u64,
    /// Other VMs from which messages have arrived.
    pub vms: Table<VmName, Vm>,
    /// State of the membership system.
    pub membership: Membership,
    /// The lease under which this VM acts as owner and home.
    pub lease: Lease,
    /// Due times of rows.
    pub timers: Timers,
    /// Routes by host, the longest path prefix first.
    pub hosts: Table<Arc<str>, Vec<Arc<HostRoute>>>,
    /// Time at which the backends of a route, by its name, changed last.
    pub route_changes: Table<Arc<str>, u64>,
    /// Number of turns of the programs of routes, by the name of the route.
    pub route_turns: Table<Arc<str>, RouteTurns>,
    /// Budgets of programs that have no home.
    pub budgets: Table<ProgramKey, Budget>,
    /// The other VMs under `Coordination::Peers`.
    pub peering: Peering,
    /// State of the reads from the platform's store.
    pub source: Source,
}
