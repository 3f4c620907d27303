//! Due times of rows.

use std::collections::BTreeSet;

use super::Holder;
use crate::ids::{AccountName, AttemptId, CallId, Epoch, PoolKey, ProgramKey};
use crate::message::ShareId;

/// What is due at a time.
///
/// A timer may fire for a row that has moved on; its system checks the row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A call has waited long enough for its account's rate.
    RateWait(CallId),
    /// An account may have calls for those that wait.
    RateRefill(AccountName),
    /// A holder has to renew its share or to ask again.
    ShareAsk(AccountName),
    /// An owner may have calls for holders that wait.
    LoanQueue(AccountName),
    /// The last grant of a loan may have ended.
    LoanEnd(AccountName, Holder, ShareId),
    /// All grants of earlier owners of an account may have ended.
    TakeoverEnd(AccountName),
    /// Members that did not answer a new owner have to be asked again.
    ShareQuery(Epoch),
    /// A call has waited long enough for the turn before it.
    TurnWait(CallId),
    /// A program has had no calls for the time of its lease.
    ProgramLease(ProgramKey),
    /// A call has waited long enough for an upstream.
    QueueWait(AttemptId),
    /// A pool has to be looked at again.
    PoolRetry(PoolKey),
    /// The view has to be touched or read.
    Touch,
}

/// Due times, earliest first.
#[derive(Debug, Default)]
pub struct Timers {
    due: BTreeSet<(u64, Timer)>,
}

impl Timers {
    /// Adds a timer.
    pub fn set(&mut self, due_us: u64, timer: Timer) {
        self.due.insert((due_us, timer));
    }

    /// Returns the earliest due time.
    pub fn next_due_us(&self) -> Option<u64> {
        self.due.first().map(|(due_us, _)| *due_us)
    }

    /// Removes and returns the earliest timer that is due.
    pub fn pop_due(&mut self, now_us: u64) -> Option<Timer> {
        if self.next_due_us()? > now_us {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
