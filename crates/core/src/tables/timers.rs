//! Due times of rows.

use std::collections::BTreeSet;

use super::{Holder, Release};
use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, Epoch, PoolKey, ProgramKey, ServiceName,
    UpstreamName,
};
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
    ShareDemand(AccountName),
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
    /// A `Begin` has to be sent again.
    TurnRetry(CallId),
    /// A turn has been in progress for long.
    TurnProbe(ProgramKey, CallId),
    /// A `Settle` has to be sent again.
    SettleRetry(CallId),
    /// A caller's request about a program has to be sent again.
    RequestRetry(CallId),
    /// A request to end a program need not be remembered any longer.
    EndedRequestExpiry(CallId),
    /// The state of a program that is over need not be kept any longer.
    TombstoneExpiry(ProgramKey),
    /// A witness need not be kept any longer.
    WitnessExpiry(ProgramKey),
    /// A transfer to a new home has to be sent again.
    TransferRetry(u64),
    /// A release of engine memory has to be sent again.
    ReleaseRetry(Release),
    /// A program has had no calls for the time of its lease.
    ProgramLease(ProgramKey),
    /// A call has waited long enough for an upstream.
    QueueWait(AttemptId),
    /// The owner of a pool has not answered a request for an upstream.
    PlaceWait(AttemptId),
    /// The owner of a pool has not confirmed the end of an attempt.
    FinishWait(AttemptId),
    /// A call has waited for three quarters of the longest wait.
    QueueAge(PoolKey, AttemptId),
    /// The entry VM of a running attempt is asked whether it still runs.
    RunningCheck(AttemptId),
    /// An upstream may be ready for calls again.
    UpstreamReady(UpstreamName),
    /// The cause of a broken connection must be decided.
    CrashDecision(UpstreamName),
    /// A program may have had no calls for a long time.
    PlacementHistoryIdle(ProgramKey),
    /// A content may not have been seen for a long time.
    SuspectIdle(ContentDigest),
    /// A quarantine may have ended.
    QuarantineEnd(ContentDigest),
    /// Orders to the engines of a service have to be reviewed.
    OrdersReview(ServiceName),
    /// Heartbeats have to be sent.
    Heartbeat,
    /// The store may have to be asked for something.
    Store,
    /// Summaries have to be sent.
    Summary,
    /// The configuration, the list of upstreams or the VMs may have to be read.
    Source,
    /// A program may have had no turns for the time that its budget is kept.
    BudgetIdle(ProgramKey),
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

    /// Removes a timer that is no longer needed.
    pub fn cancel(&mut self, due_us: u64, timer: Timer) {
        self.due.remove(&(due_us, timer));
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
