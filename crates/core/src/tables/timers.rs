//! Timers of rows.

use std::collections::BTreeSet;

use super::{Holder, Release};
use crate::ids::{
    AccountName, AttemptId, CallId, ContentDigest, Epoch, PoolKey, ProgramKey, ServiceName,
    UpstreamName,
};
use crate::message::ShareId;

/// What is due when a timer fires.
///
/// A timer may fire after the state of its row has changed, so its system checks the row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The longest wait of a call for its account's rate has ended.
    RateWait(CallId),
    /// The bucket of an account may have refilled for waiting calls.
    RateRefill(AccountName),
    /// A holder has to renew its share or repeat its demand.
    ShareDemand(AccountName),
    /// An owner may have calls for waiting holders.
    LoanQueue(AccountName),
    /// The last grant of a loan may have ended.
    LoanEnd(AccountName, Holder, ShareId),
    /// All grants of earlier owners of an account may have ended.
    TakeoverEnd(AccountName),
    /// A new owner repeats its query to members that have not answered.
    ShareQuery(Epoch),
    /// The longest wait of a call for the turn before it has ended.
    TurnWait(CallId),
    /// A `Begin` is sent again.
    TurnRetry(CallId),
    /// A turn has been in progress for long, so its entry VM is asked about it.
    TurnProbe(ProgramKey, CallId),
    /// A `Settle` is sent again.
    SettleRetry(CallId),
    /// A caller's request about a program is sent again.
    RequestRetry(CallId),
    /// The record of an applied request to end a program expires.
    EndedRequestExpiry(CallId),
    /// The tombstone of an ended program expires.
    TombstoneExpiry(ProgramKey),
    /// A witness may have expired.
    WitnessExpiry(ProgramKey),
    /// A transfer to a new home is sent again.
    TransferRetry(u64),
    /// A release of engine memory is sent again.
    ReleaseRetry(Release),
    /// The lease of a program may have ended.
    ProgramLease(ProgramKey),
    /// The longest wait of a call for an upstream has ended.
    QueueWait(AttemptId),
    /// The answer of the owner of a pool to a request for an upstream is overdue.
    PlaceWait(AttemptId),
    /// The confirmation of the end of an attempt by the owner of its pool is overdue.
    FinishWait(AttemptId),
    /// A call has waited for three quarters of the longest wait.
    QueueAge(PoolKey, AttemptId),
    /// The urgency of a waiting call has to be determined again.
    QueueReview(PoolKey, AttemptId),
    /// The entry VM of a running attempt is asked whether it still runs.
    RunningCheck(AttemptId),
    /// An upstream may be ready for calls again.
    UpstreamReady(UpstreamName),
    /// A period of shared places has begun.
    PlacesShared,
    /// Upstreams that are paced or cold are looked at.
    PaceReview,
    /// A lost link may be back and is probed.
    LinkProbe,
    /// The examination of a broken connection ends, and its cause has to be decided.
    CrashDecision(UpstreamName),
    /// The notice of a leaving upstream may have expired.
    NoticeExpiry(UpstreamName),
    /// The placement history of a program may have expired.
    PlacementHistoryIdle(ProgramKey),
    /// The record of a suspect content may have expired.
    SuspectIdle(ContentDigest),
    /// A quarantine may have ended.
    QuarantineEnd(ContentDigest),
    /// The orders to the engines of a service are reviewed.
    OrdersReview(ServiceName),
    /// Heartbeats are sent.
    Heartbeat,
    /// A request to the store may be due.
    Store,
    /// Summaries are sent.
    Summary,
    /// A read of the configuration, the list of upstreams or the list of VMs may be due.
    Source,
    /// The longest wait of a turn for its program's budget has ended.
    BudgetWait(CallId),
    /// The budget of a program may have expired.
    BudgetIdle(ProgramKey),
}

/// Pending timers, ordered by due time.
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

    /// Removes and returns the earliest timer that is due at `now_us`.
    pub fn pop_due(&mut self, now_us: u64) -> Option<Timer> {
        if self.next_due_us()? > now_us {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
