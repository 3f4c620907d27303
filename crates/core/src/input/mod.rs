//! Typed inputs of the core.

mod attempt;
mod call;
mod event;

pub use attempt::{AttemptEvent, AttemptOutcome, AttemptProgress, Failure};
pub use call::{
    Continuation, NewCall, Permit, PresentedKey, ProgramRequest, ProgramRequestKind, ProgramTurn,
    Target,
};
pub use event::{Input, ProbeState, StoreEvent, StoredView, VmStatus};
