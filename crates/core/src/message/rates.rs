//! Messages about shares of the rates of client accounts.

use derive_more::Display;

use crate::ids::{AccountName, Epoch, Incarnation};

/// Identifies a share of an account's rate within the fleet.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{owner}/{number}")]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ShareId {
    /// The incarnation of the owner that granted the share first.
    pub owner: Incarnation,
    /// Number of the share among those of that incarnation.
    pub number: u64,
}

/// A message about shares of the rates of client accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RatesMessage {
    /// Sent by a holder to the owner of an account.
    Demand(Box<Demand>),
    /// Sent by the owner of an account to a holder.
    Grant(Box<Grant>),
    /// Sent by a new owner to learn which shares a member holds and what it owned before.
    ShareQuery {
        /// The epoch in which the sender became owner.
        epoch: Epoch,
        /// The accounts that it took over.
        accounts: Vec<AccountName>,
    },
    /// The answer to `ShareQuery`; the shares themselves follow as demands.
    ShareReport {
        /// The epoch of the query.
        epoch: Epoch,
        /// What the sender had not granted of accounts that it owned before.
        unlent: Vec<Unlent>,
    },
}

/// Why a holder sends a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DemandKind {
    /// Requests a grant.
    Ask,
    /// Confirms a grant that reduced the share; needs no answer.
    Confirm,
    /// Returns the share; needs no answer.
    Release,
}

/// A holder's report and request to the owner of an account.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Demand {
    /// Why it is sent.
    pub kind: DemandKind,
    /// The account whose rate is shared.
    pub account: AccountName,
    /// The epoch of the sender's view.
    pub epoch: Epoch,
    /// Sequence number of the sender's demands for the account.
    pub seq: u64,
    /// The sender ignores new shares granted in answer to demands with a lower `seq`.
    pub floor_seq: u64,
    /// When it was sent, on the sender's clock; the grant repeats it.
    pub sent_us: u64,
    /// The rate that the sender could use, in thousandths of a call per second.
    pub wanted_mcalls_per_s: u64,
    /// Calls waiting on the sender.
    pub waiting_calls: u64,
    /// Level of the sender's token bucket, in billionths of a call.
    pub level_ncalls: u64,
    /// The share that the sender holds; `None` if it holds none.
    pub held: Option<HeldShare>,
}

/// A share as its holder reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HeldShare {
    /// The ID of the share.
    pub id: ShareId,
    /// Sequence number of the last applied grant, which this confirms.
    pub applied_seq: u64,
    /// Rate of the share.
    pub rate_mcalls_per_s: u64,
    /// Burst size of the share.
    pub burst_ncalls: u64,
    /// Total calls deposited by grants of the share.
    pub received_ncalls: u64,
    /// Total calls returned from the share.
    pub returned_ncalls: u64,
    /// Total calls recalled by the owner, as far as the holder has answered.
    pub recalled_ncalls: u64,
}

/// A grant of a share.
///
/// The calls are totals, so that a holder recovers the contents of a lost grant
/// and deposits nothing twice for a repeated one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Grant {
    /// The account whose rate is shared.
    pub account: AccountName,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The incarnation of the holder.
    pub holder: Incarnation,
    /// The `seq` of the demand that is answered.
    pub answers_seq: u64,
    /// When that demand was sent, on the holder's clock.
    pub sent_us: u64,
    /// How long the grant is valid, counted from `sent_us`.
    pub valid_ms: u64,
    /// The ID of the granted share.
    pub id: ShareId,
    /// Sequence number of the grants of the share.
    pub seq: u64,
    /// Rate of the share.
    pub rate_mcalls_per_s: u64,
    /// Burst size of the share.
    pub burst_ncalls: u64,
    /// Total calls moved to the holder by grants of the share.
    pub moved_ncalls: u64,
    /// Total calls that the owner recalled from the share.
    pub recalled_ncalls: u64,
    /// Whether the owner still waits for the grants of an earlier owner to expire.
    pub is_taking_over: bool,
}

/// What a previous owner had not granted when it learned of its successor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Unlent {
    /// The account whose rate is shared.
    pub account: AccountName,
    /// Rate that was not granted.
    pub rate_mcalls_per_s: u64,
    /// Burst size that was not granted.
    pub burst_ncalls: u64,
    /// Calls in the bucket that were not granted, in billionths of a call.
    pub calls_ncalls: u64,
}
