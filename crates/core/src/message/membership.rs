//! Messages about the view and its leases.

use std::sync::Arc;

use crate::ids::{Epoch, Incarnation, Revision, VmName};
use crate::tables::{Member, View, ViewDelta};

/// A message about the view and its leases.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum MembershipMessage {
    /// Announces that the sender is alive.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat; sent again when there are updates for the heartbeat's sender.
    HeartbeatAnswer(HeartbeatAnswer),
    /// Reports to a writer that a member is silent.
    Suspect {
        /// The silent member.
        vm: VmName,
        /// The incarnation that is silent.
        incarnation: Incarnation,
    },
    /// Asks a writer to add this member, the sender, to the view.
    Join(Box<Member>),
    /// Requests a view newer than the sender's.
    ViewRequest {
        /// The epoch of the sender's view.
        known: Epoch,
    },
    /// Sends a whole view.
    ViewIs(Arc<View>),
    /// Sends the changes since a view that the receiver knows.
    ViewChanges(Vec<ViewDelta>),
    /// Announces that the sender, no longer a member, has handed over everything and stopped.
    Left {
        /// The epoch of the view that removed it.
        epoch: Epoch,
    },
}

/// Announces that the sender is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Heartbeat {
    /// Number of the heartbeat round; answers repeat it.
    pub round: u64,
    /// The epoch of the sender's view.
    pub epoch: Epoch,
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// Whether the sender requests confirmation of its lease.
    pub asks: bool,
    /// Whether the sender is about to leave.
    pub leaving: bool,
}

/// Answers a heartbeat.
///
/// Ages are relative to the arrival of the heartbeat; a negative age means a
/// later time.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HeartbeatAnswer {
    /// The number of the answered heartbeat round.
    pub round: u64,
    /// The epoch of the sender's view.
    pub epoch: Epoch,
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// Age of the sender's own lease confirmation; `None` if it has none.
    pub confirmed_age_us: Option<i64>,
    /// Age of the sender's promise, as a writer, to write no view for the duration of a lease;
    /// `None` if it made none.
    pub promise_age_us: Option<i64>,
}
