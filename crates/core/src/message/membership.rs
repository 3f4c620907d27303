//! Messages about the view and its leases.

use std::sync::Arc;

use crate::ids::{Epoch, Incarnation, Revision, VmName};
use crate::tables::{Member, View, ViewDelta};

/// A message about the view and its leases.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum MembershipMessage {
    /// Says that the sender is alive.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat, and again when there is news for its sender.
    HeartbeatAnswer(HeartbeatAnswer),
    /// Tells a writer that a member has been silent.
    Suspect {
        /// The silent member.
        vm: VmName,
        /// The start of its process that is silent.
        incarnation: Incarnation,
    },
    /// Asks a writer to add the sender to the view.
    Join(Box<Member>),
    /// Asks for a view newer than the one that the sender knows.
    ViewRequest {
        /// The epoch that the sender knows.
        known: Epoch,
    },
    /// Carries a view.
    ViewIs(Arc<View>),
    /// Carries the changes from a view that the receiver knows.
    ViewChanges(Vec<ViewDelta>),
    /// Says that the sender, no longer a member, has handed everything over and acts no more.
    Left {
        /// The epoch of the view that removed it.
        epoch: Epoch,
    },
}

/// Says that the sender is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Heartbeat {
    /// The round of heartbeats; answers repeat it.
    pub round: u64,
    /// The epoch that the sender knows.
    pub epoch: Epoch,
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// Whether the sender asks for its lease to be confirmed.
    pub asks: bool,
    /// Whether the sender is about to leave.
    pub leaving: bool,
}

/// Answers a heartbeat.
///
/// Ages count back from the moment at which the heartbeat arrived; a negative
/// age is a moment after that.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HeartbeatAnswer {
    /// The round of heartbeats that is answered.
    pub round: u64,
    /// The epoch that the sender knows.
    pub epoch: Epoch,
    /// The revision that the sender has in force.
    pub revision: Revision,
    /// Age of the sender's confirmation, if it has one.
    pub confirmed_age_us: Option<i64>,
    /// Age of the promise of the sender, a writer, to write no view for the time of a lease.
    pub promise_age_us: Option<i64>,
}
