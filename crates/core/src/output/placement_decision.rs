//! Decisions about calls that wait for an upstream.

use derive_more::Display;

use crate::ids::{CallId, PoolKey};
use crate::tables::UrgencyClass;

/// A decision about calls that wait for an upstream.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum PlacementDecision {
    /// A waiting call cannot be placed in time.
    #[display(
        "call {call} cannot be placed in time in {pool}, {class} with a slack of {slack_ms} ms, expected wait {wait_ms} ms, {calls_before} calls before it on all VMs"
    )]
    NotPlaceable {
        /// The refused call.
        call: CallId,
        /// The pool that it waited for.
        pool: PoolKey,
        /// What could still be reached with it.
        class: UrgencyClass,
        /// Time left until its latest start; negative after it.
        slack_ms: i64,
        /// Expected wait.
        wait_ms: u64,
        /// Calls that would have been placed before it.
        calls_before: u64,
    },
}
