//! Other VMs, as known from their membership messages.

use crate::ids::{Epoch, Incarnation, Revision};

/// Another VM, as known from its membership messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Latest known incarnation of its process.
    pub incarnation: Incarnation,
    /// Time at which the last message of this incarnation arrived.
    pub last_heard_us: u64,
    /// Epoch that it last reported.
    pub epoch: Epoch,
    /// Epoch of the last view that was sent to it.
    pub sent_epoch: Epoch,
    /// Revision of the configuration that it last reported.
    pub revision: Revision,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Its last heartbeat that requested an answer.
    pub heartbeat_request: Option<HeartbeatRequest>,
}

/// A heartbeat that requested an answer, and what was sent in return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatRequest {
    /// Round of the heartbeat.
    pub round: u64,
    /// Time at which it arrived.
    pub arrived_us: u64,
    /// Time at which it, or an earlier one, was last answered; 0 if none was.
    pub answered_us: u64,
    /// Time of the confirmation that was last sent; 0 if none was.
    pub sent_confirmation_us: u64,
    /// Revision that was last sent, or the one that the heartbeat reported.
    pub sent_revision: Revision,
    /// Whether the last answer contained a promise.
    pub sent_promise: bool,
}

impl Vm {
    /// Creates the row of a VM from which a first message has arrived.
    pub fn new(incarnation: Incarnation, now_us: u64) -> Self {
        Self {
            incarnation,
            last_heard_us: now_us,
            epoch: Epoch::default(),
            sent_epoch: Epoch::default(),
            revision: Revision::default(),
            leaving: false,
            heartbeat_request: None,
        }
    }
}
