//! Messages about shares of the rate of client accounts.

use derive_more::Display;

use crate::ids::{AccountName, Epoch, Incarnation};

/// A share, unique over the fleet.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{owner}/{number}")]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ShareId {
    /// The start of the owner that lent the share first.
    pub owner: Incarnation,
    /// Counts the shares of that start.
    pub number: u64,
}

/// A message about shares of the rate of client accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RatesMessage {
    /// A holder to the owner of an account.
    Demand(Box<Demand>),
    /// The owner of an account to a holder.
    Grant(Box<Grant>),
    /// A new owner asks a member for what it holds or has owned.
    ShareQuery {
        /// The epoch in which the sender became the owner.
        epoch: Epoch,
        /// The accounts that it took over.
        accounts: Vec<AccountName>,
    },
    /// The answer to `ShareQuery`; the shares themselves follow as demands.
    ShareReport {
        /// The epoch of the query.
        epoch: Epoch,
        /// What the sender had not lent of accounts that it owned before.
        unlent: Vec<Unlent>,
    },
}

/// Why a holder sends a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DemandKind {
    /// Asks for a grant.
    Ask,
    /// Confirms a grant that made the share smaller; needs no answer.
    Confirm,
    /// Gives the share up; needs no answer.
    Release,
}

/// What a holder tells the owner of an account.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Demand {
    /// Why it is sent.
    pub kind: DemandKind,
    /// The account.
    pub account: AccountName,
    /// The epoch that the sender knows.
    pub epoch: Epoch,
    /// Counts the demands of the sender for the account.
    pub seq: u64,
    /// The sender ignores new shares that answer an earlier demand than this.
    pub floor_seq: u64,
    /// When it was sent, on the sender's clock; the grant repeats it.
    pub sent_us: u64,
    /// The rate that the sender could use.
    pub wanted_mcalls_per_s: u64,
    /// Calls that wait at the sender.
    pub waiting_calls: u64,
    /// Calls in the sender's bucket.
    pub level_ncalls: u64,
    /// The share that the sender holds.
    pub held: Option<HeldShare>,
}

/// A share as its holder reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HeldShare {
    /// The share.
    pub id: ShareId,
    /// The last grant that was applied; this confirms it.
    pub applied_seq: u64,
    /// The rate of the share.
    pub rate_mcalls_per_s: u64,
    /// The burst of the share.
    pub burst_ncalls: u64,
    /// All calls that were deposited with grants of the share.
    pub received_ncalls: u64,
    /// All calls that were given back from the share.
    pub returned_ncalls: u64,
    /// All calls that the owner has asked back, as far as answered.
    pub recalled_ncalls: u64,
}

/// A grant of a share.
///
/// The totals of calls let a holder recover what a lost grant carried, and
/// keep a repeated grant from depositing anything twice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Grant {
    /// The account.
    pub account: AccountName,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The start of the holder that the grant is for.
    pub holder: Incarnation,
    /// The demand that is answered.
    pub answers_seq: u64,
    /// When that demand was sent, on the holder's clock.
    pub sent_us: u64,
    /// How long the grant is valid from the time the demand was sent.
    pub valid_ms: u64,
    /// The share.
    pub id: ShareId,
    /// Counts the grants of the share.
    pub seq: u64,
    /// The rate of the share.
    pub rate_mcalls_per_s: u64,
    /// The burst of the share.
    pub burst_ncalls: u64,
    /// All calls that moved to the holder with grants of the share.
    pub moved_ncalls: u64,
    /// All calls that the owner asked back from the share.
    pub recalled_ncalls: u64,
    /// Whether the owner still waits for the end of what an earlier owner lent.
    pub is_taking_over: bool,
}

/// What a previous owner had not lent when it learned of its successor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Unlent {
    /// The account.
    pub account: AccountName,
    /// The rate.
    pub rate_mcalls_per_s: u64,
    /// The burst.
    pub burst_ncalls: u64,
    /// The calls.
    pub calls_ncalls: u64,
}
