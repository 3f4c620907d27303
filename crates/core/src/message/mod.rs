//! Messages between VMs, one enum per system.
//!
//! Every type in a message derives the serde traits under the feature `serde`.

mod config;
mod homes;
mod membership;
mod placement;
mod rates;
mod reports;
mod summary;

pub use config::ConfigMessage;
pub use homes::{
    Began, Begin, Denied, HandOver, HandedProgram, HomesMessage, PermitRequest, RunningTurn,
    Settle, Witness,
};
pub use membership::{Heartbeat, HeartbeatAnswer, MembershipMessage};
pub use placement::{AttemptResult, Finish, InFlight, Place, PlacementMessage};
pub use rates::{Demand, DemandKind, Grant, HeldShare, RatesMessage, ShareId, Unlent};
pub use reports::{PoolDemand, UpstreamPace, UpstreamReport};
pub use summary::{
    ListVersion, ProgramSpent, ProgramUse, Snapshot, StatedLimit, Summary, SummaryAck,
    TunnelContact,
};

use derive_more::From;

/// A message between two VMs.
#[derive(Debug, Clone, PartialEq, Eq, From)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum PeerMessage {
    /// About the view, leases and failure suspicion.
    Membership(MembershipMessage),
    /// About shares of the rates of client accounts.
    Rates(RatesMessage),
    /// About turn order, budgets and permits of programs.
    Homes(HomesMessage),
    /// About pool queues and placement.
    Placement(PlacementMessage),
    /// About the published configuration.
    Config(ConfigMessage),
}
