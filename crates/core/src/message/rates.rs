//! Messages about shares of the rate of client accounts.

use crate::ids::{AccountName, Epoch};

/// A message about shares of the rate of client accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RatesMessage {
    /// Asks the owner of an account for a share.
    Demand {
        /// The account.
        account: AccountName,
        /// The epoch that the sender knows.
        epoch: Epoch,
        /// Counts the demands of the sender for the account.
        seq: u64,
        /// The rate that the sender could use.
        wanted_mcalls_per_s: u64,
        /// Calls that wait at the sender.
        waiting_calls: u64,
    },
    /// Grants a share.
    Grant {
        /// The account.
        account: AccountName,
        /// The epoch of the owner.
        epoch: Epoch,
        /// The demand that is answered.
        seq: u64,
        /// The rate of the share.
        rate_mcalls_per_s: u64,
        /// The burst of the share.
        burst_ncalls: u64,
        /// Calls that move to the holder with this grant.
        calls_ncalls: u64,
        /// How long the grant is valid from the time the demand was sent.
        valid_ms: u64,
    },
}
