//! What a VM knows of another one.

use crate::ids::{Epoch, Incarnation, Revision};

/// What this VM knows of another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The latest start of its process that was heard of.
    pub incarnation: Incarnation,
    /// When a message of this start last arrived.
    pub last_heard_us: u64,
    /// The epoch that it last reported.
    pub epoch: Epoch,
    /// The epoch of the view that was last passed on to it.
    pub sent_epoch: Epoch,
    /// The revision that it last reported.
    pub revision: Revision,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Its last heartbeat that asked for an answer.
    pub heartbeat_request: Option<HeartbeatRequest>,
}

/// A heartbeat that asked for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatRequest {
    /// The round of heartbeats.
    pub round: u64,
    /// When it arrived.
    pub arrived_us: u64,
    /// When it, or one before it, was last answered.
    pub answered_us: u64,
    /// The confirmation that was last passed on.
    pub sent_confirmation_us: u64,
    /// The revision that was last passed on.
    pub sent_revision: Revision,
    /// Whether the last answer held a promise.
    pub sent_promise: bool,
}

impl Vm {
    /// Makes the row of a VM that has just been heard of.
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
