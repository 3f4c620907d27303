//! The decision core of knapweeddale.
//!
//! The core holds tables of entities (calls, programs, client accounts,
//! upstreams, VMs) and the systems that run over them each tick. It has no
//! I/O, no clock, no threads, no serialization and no randomness: time comes
//! with each tick, and the same inputs give the same outputs.
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
pub mod output;
mod systems;
pub mod tables;

pub use config::{
    AccountConfig, CoreSettings, EngineConfig, FleetConfig, KeyConfig, RouteConfig, ServiceConfig,
    ServiceKind, UpstreamConfig,
};
pub use control::Control;
pub use ids::{
    AccountName, AttemptId, CallId, ContentDigest, DomainName, Epoch, HistoryDigest, Incarnation,
    KeyId, ModelName, PoolKey, ProgramKey, ProgramName, Revision, Secret256, ServiceName,
    UpstreamName, VmName,
};
pub use input::{
    AttemptEvent, Input, NewCall, PresentedKey, ProgramRequest, ProgramRequestKind, ProgramTurn,
    StoreEvent, Target,
};
pub use message::PeerMessage;
pub use output::{
    Answered, Charge, Decision, Dispatch, Execution, Output, Refusal, RefusalKind, StoreRequest,
};
