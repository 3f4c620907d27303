//! Inputs of the core: calls, events of upstreams, messages of other VMs and store answers.

mod attempt;
mod bounds;
mod call;
mod event;
mod relay;

pub use attempt::{AttemptEvent, AttemptOutcome, AttemptProgress, Failure};
pub use bounds::{MAX_DURATION_MS, MAX_TOKENS, is_host_address};
pub use call::{
    Continuation, NewCall, Permit, PresentedKey, ProgramRequest, ProgramRequestKind, ProgramTurn,
    Target,
};
pub use event::{
    Input, ListedVm, OrderResult, ProbeState, StatedRate, StoreEvent, StoredView, UpstreamStatement,
};
pub use relay::{
    Evacuations, ListedUpstream, PeerEvent, RegisteredVm, RelayedCall, SourceEvent,
    SourceRequestKind, StorageVm, StreamStart, UpstreamList,
};
