//! Tables of entities.
//!
//! The control thread owns all tables. Systems look rows up by key and keep
//! work lists of the rows that changed, so that no decision scans a table.

mod account;
mod bucket;
mod call;
mod footprint;
mod health;
mod lease;
mod limit;
mod pool;
mod program;
mod queue;
mod retry;
mod suspect;
mod table;
mod timers;
mod upstream;
mod view;

pub use account::{Account, Key};
pub use bucket::{Bucket, NCALLS_PER_CALL};
pub use call::{Call, PlaceState, Stage};
pub use footprint::{Footprint, Hint};
pub use health::{Health, LostAttempt};
pub use lease::Lease;
pub use limit::{Limit, LimitReason};
pub use pool::Pool;
pub use program::{Program, Turn};
pub use queue::{Candidates, LaneOrder, Queue, Rank, Waiting};
pub use retry::RetryBudget;
pub use suspect::{Quarantine, Suspect};
pub use table::Table;
pub use timers::{Timer, Timers};
pub use upstream::{Running, Upstream};
pub use view::{Member, View};

use std::sync::Arc;

use crate::config::{FleetConfig, ServiceConfig};
use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, Epoch, KeyId, ModelName, PoolKey, ProgramKey,
    ServiceName, UpstreamName,
};
use crate::message::Finish;

/// All state of the core of one VM.
#[derive(Debug, Default)]
pub struct Tables {
    /// The configuration in force.
    pub fleet: Arc<FleetConfig>,
    /// Client accounts.
    pub accounts: Table<AccountName, Account>,
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
    /// Programs whose home is this VM.
    pub programs: Table<ProgramKey, Program>,
    /// Calls that arrived at this VM.
    pub calls: Table<CallId, Call>,
    /// Attempts placed by this VM as owner of their pool.
    pub running: Table<AttemptId, Running>,
    /// Ended attempts whose end the owner of their pool has not confirmed.
    pub finishing: Table<AttemptId, Finish>,
    /// What this VM, as owner of pools, remembers about programs.
    pub footprints: Table<ProgramKey, Footprint>,
    /// Contents that were running when an upstream crashed.
    pub suspects: Table<ContentDigest, Suspect>,
    /// Contents that no VM runs.
    pub quarantine: Table<ContentDigest, Quarantine>,
    /// The view in force.
    pub view: View,
    /// The epoch of the view that placement has acted on.
    pub placed_epoch: Epoch,
    /// The version of the view object in the store; 0 if unknown.
    pub view_version: u64,
    /// The lease under which this VM acts as owner and home.
    pub lease: Lease,
    /// Due times.
    pub timers: Timers,
}
