//! Tables of entities.
//!
//! The control thread owns all tables. Systems look rows up by key and keep
//! work lists of the rows that changed, so that no decision scans a table.

mod account;
mod bucket;
mod call;
mod lease;
mod loan;
mod pool;
mod program;
mod share;
mod table;
mod timers;
mod upstream;
mod view;

pub use account::{Account, Key};
pub use bucket::{Bucket, NCALLS_PER_CALL};
pub use call::{Call, Stage};
pub use lease::Lease;
pub use loan::{Holder, Lending, Limits, Loan, Ownership, Takeover};
pub use pool::{Pool, Waiting};
pub use program::{Program, Turn};
pub use share::{Held, Meter, Share};
pub use table::Table;
pub use timers::{Timer, Timers};
pub use upstream::{Running, Upstream};
pub use view::{Member, View};

use std::sync::Arc;

use crate::config::{FleetConfig, ServiceConfig};
use crate::ids::{
    AccountName, AttemptId, CallId, KeyId, ModelName, PoolKey, ProgramKey, ServiceName,
    UpstreamName,
};

/// All state of the core of one VM.
#[derive(Debug, Default)]
pub struct Tables {
    /// The configuration in force.
    pub fleet: Arc<FleetConfig>,
    /// Client accounts.
    pub accounts: Table<AccountName, Account>,
    /// What this VM may spend of client accounts.
    pub shares: Table<AccountName, Share>,
    /// Client accounts that this VM owns.
    pub loans: Table<AccountName, Lending>,
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
    /// Programs whose home is this VM.
    pub programs: Table<ProgramKey, Program>,
    /// Calls that arrived at this VM.
    pub calls: Table<CallId, Call>,
    /// Attempts placed by this VM as owner of their pool.
    pub running: Table<AttemptId, Running>,
    /// The view in force.
    pub view: View,
    /// The version of the view object in the store; 0 if unknown.
    pub view_version: u64,
    /// The lease under which this VM acts as owner and home.
    pub lease: Lease,
    /// Due times.
    pub timers: Timers,
}
