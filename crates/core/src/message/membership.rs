//! Messages about the view and its leases.

use crate::ids::{Epoch, Revision};

/// A message about the view and its leases.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum MembershipMessage {
    /// Says that the sender is alive and asks for its lease to be confirmed.
    Heartbeat {
        /// Counts the heartbeats of the sender.
        seq: u64,
        /// The epoch that the sender knows.
        epoch: Epoch,
        /// The revision that the sender has in force.
        revision: Revision,
    },
    /// Answers a heartbeat.
    HeartbeatAnswer {
        /// The heartbeat that is answered.
        seq: u64,
        /// The epoch that the sender knows.
        epoch: Epoch,
        /// The revision that the sender has in force.
        revision: Revision,
        /// Age of the sender's confirmation of the epoch, if it has one.
        confirmed_age_us: Option<u64>,
        /// For how long from now the sender, a writer, writes no view.
        promise_ms: Option<u64>,
    },
}
