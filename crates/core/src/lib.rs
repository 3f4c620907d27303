//! The decision core of knapweeddale.
//!
//! The core holds tables of entities (calls, programs, client accounts,
//! upstreams, VMs) and the systems that run over them each tick. It has no
//! I/O, clock, threads, serialization or randomness: each tick is given the
//! time, and the same inputs produce the same outputs.
//!
//! # Examples
//!
//! ```
//! use knapweeddale_core::{Control, CoreSettings, Incarnation, VmName};
//!
//! let settings = CoreSettings::builder()
//!     .vm(VmName::from("vm-1"))
//!     .incarnation(Incarnation(1))
//!     .build();
//! let mut control = Control::new(settings);
//! let mut outputs = Vec::new();
//! control.tick(1_000, [], &mut outputs);
//! ```

pub mod config;
mod control;
pub mod ids;
pub mod input;
pub mod message;
pub mod origins;
pub mod output;
mod systems;
pub mod tables;
pub mod turns;
pub mod usage;

pub use config::{
    AccountConfig, Backend, CallerLimits, Coordination, CoreSettings, EngineConfig, FleetConfig,
    HostRoute, KeyConfig, RouteConfig, RouteKind, ServiceConfig, ServiceKind, UpstreamConfig,
};
pub use control::Control;
pub use ids::{
    AccountName, AttemptId, CallId, ContentDigest, DomainName, Epoch, HistoryDigest, Incarnation,
    KeyId, ModelName, PoolKey, ProgramKey, ProgramName, RegionName, Revision, Secret256,
    ServiceName, SoftwareVersion, StreamOrigin, TurnId, UpstreamName, VmName,
};
pub use input::{
    AttemptEvent, Evacuations, Input, ListedUpstream, NewCall, PeerEvent, PresentedKey,
    ProgramRequest, ProgramRequestKind, ProgramTurn, RegisteredVm, RelayedCall, SourceEvent,
    SourceRequestKind, StorageVm, StoreEvent, StreamStart, Target, UpstreamList,
};
pub use message::{PeerMessage, Snapshot, Summary};
pub use output::{
    Answered, Charge, Decision, Dispatch, Execution, Output, Refusal, RefusalKind, SourceRequest,
    StoreRequest, StreamFormat,
};
