//! Messages between VMs, one enum for each system that handles them.

mod config;
mod homes;
mod membership;
mod placement;
mod rates;

pub use config::ConfigMessage;
pub use homes::{Begin, Denied, HomesMessage, Settle};
pub use membership::MembershipMessage;
pub use placement::{Place, PlacementMessage};
pub use rates::{Demand, DemandKind, Grant, HeldShare, RatesMessage, ShareId, Unlent};

use derive_more::From;

/// A message between two VMs.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum PeerMessage {
    /// View, leases and failure suspicion.
    Membership(MembershipMessage),
    /// Shares of the rate of client accounts.
    Rates(RatesMessage),
    /// Order, budget and permits of programs.
    Homes(HomesMessage),
    /// Queues of pools.
    Placement(PlacementMessage),
    /// Published configuration.
    Config(ConfigMessage),
}
