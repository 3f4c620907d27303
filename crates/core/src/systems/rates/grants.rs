//! Grants and recalls of an owner: serves the holders of an account whose calls wait.

use smallvec::SmallVec;

use super::allocation;
use crate::tables::{Holder, NCALLS_PER_CALL, OwnedAccount};

/// A short list of holders.
pub(super) type HolderList = SmallVec<[Holder; 8]>;

/// Most holders from which calls are recalled, or whose shares are shrunk, for one demand.
///
/// This bounds the cost of a demand; a holder that still waits sends another one.
const MAX_RECALLS: usize = 8;

/// Smallest fraction of a call that is recalled.
///
/// Holders hold fractions of calls; smaller ones from 8 holders don't add up to a call.
const MIN_RECALL_NCALLS: u64 = NCALLS_PER_CALL / 8;

/// Most holders that are served from the queue for one input.
const MAX_SERVED_HOLDERS: usize = 16;

/// Issues a grant for a demand, and recalls calls from other holders if too little is free.
pub(super) fn answer_ask(
    row: &mut OwnedAccount,
    holder: &Holder,
    now_us: u64,
    recipients: &mut HolderList,
) {
    if recall_spare(row, holder, now_us, recipients) {
        return;
    }
    issue_grant(row, holder, 0, now_us);
    recipients.push(holder.clone());
    let Some(loan) = row.loans.get(holder) else {
        return;
    };
    if loan.waiting_calls == 0 {
        return;
    }
    let needed_ncalls = loan.waiting_calls.saturating_mul(NCALLS_PER_CALL);
    let target = allocation::target_limits(row, loan);
    let is_behind = loan.granted.rate_mcalls_per_s < target.rate_mcalls_per_s / 4 * 3;
    enqueue(row, holder, now_us);
    recall_from_others(row, holder, needed_ncalls, now_us, recipients);
    if is_behind {
        shrink_largest(row, holder, now_us, recipients);
    }
}

/// Recalls the calls of a holder without waiting calls for the first holder in the queue.
pub(super) fn recall_spare(
    row: &mut OwnedAccount,
    holder: &Holder,
    now_us: u64,
    recipients: &mut HolderList,
) -> bool {
    // Until smaller grants are confirmed, the reserve has no room for calls that come back:
    // they would be lost, and a holder on this VM would be asked in an endless loop.
    if row.is_over_limits() {
        return false;
    }
    let first = row.queue.front().and_then(|first| row.loans.get(first));
    let Some(first) = first else {
        return false;
    };
    let needed_ncalls = first.waiting_calls.saturating_mul(NCALLS_PER_CALL);
    let Some(loan) = row.loans.get(holder).filter(|loan| loan.waiting_calls == 0) else {
        return false;
    };
    let ncalls = loan.estimate_level_ncalls(now_us).min(needed_ncalls);
    if ncalls < MIN_RECALL_NCALLS {
        return false;
    }
    issue_grant(row, holder, ncalls, now_us);
    recipients.push(holder.clone());
    true
}

/// Appends a holder to the queue unless it is queued.
fn enqueue(row: &mut OwnedAccount, holder: &Holder, now_us: u64) {
    let is_queued = row.loans.get(holder).is_none_or(|loan| loan.is_queued);
    if !is_queued {
        row.update(holder, now_us, |loan| loan.is_queued = true);
        row.queue.push_back(holder.clone());
    }
}

/// Recalls calls from the holders whose buckets have filled for longest.
fn recall_from_others(
    row: &mut OwnedAccount,
    holder: &Holder,
    mut needed_ncalls: u64,
    now_us: u64,
    recipients: &mut HolderList,
) {
    // As in `recall_spare`, calls that come back now would be lost.
    if row.is_over_limits() {
        return;
    }
    let by_filling = row.by_filling.iter().map(|(_, other)| other);
    let others: HolderList = by_filling
        .filter(|&other| other != holder)
        .take(MAX_RECALLS)
        .cloned()
        .collect();
    for other in others {
        let level_ncalls = row
            .loans
            .get(&other)
            .filter(|loan| loan.waiting_calls == 0)
            .map_or(0, |loan| loan.estimate_level_ncalls(now_us));
        let ncalls = level_ncalls.min(needed_ncalls);
        if ncalls >= MIN_RECALL_NCALLS {
            issue_grant(row, &other, ncalls, now_us);
            recipients.push(other);
            needed_ncalls -= ncalls;
        }
    }
}

/// Shrinks the shares that are largest in relation to their holders' weights.
fn shrink_largest(
    row: &mut OwnedAccount,
    holder: &Holder,
    now_us: u64,
    recipients: &mut HolderList,
) {
    let by_service = row.by_service_level.iter().rev().map(|(_, other)| other);
    let others: HolderList = by_service
        .filter(|&other| other != holder)
        .take(MAX_RECALLS)
        .cloned()
        .collect();
    for other in others {
        let Some(loan) = row.loans.get(&other) else {
            continue;
        };
        let target = allocation::target_limits(row, loan);
        if loan.granted.rate_mcalls_per_s <= target.rate_mcalls_per_s / 4 * 5 {
            return;
        }
        issue_grant(row, &other, 0, now_us);
        recipients.push(other);
    }
}

/// Issues grants from the reserve to holders in the queue.
pub(super) fn serve_queue(row: &mut OwnedAccount, now_us: u64, recipients: &mut HolderList) {
    for _ in 0..MAX_SERVED_HOLDERS {
        let Some(holder) = row.queue.front().cloned() else {
            return;
        };
        let loan = row.loans.get(&holder).filter(|loan| loan.waiting_calls > 0);
        let Some(loan) = loan else {
            dequeue(row, &holder, now_us);
            continue;
        };
        let level_ncalls = loan.estimate_level_ncalls(now_us) + row.reserve.level_ncalls;
        let target = allocation::target_limits(row, loan);
        let has_free_rate = row.reserve.rate_mcalls_per_s > target.rate_mcalls_per_s / 4
            && loan.granted.rate_mcalls_per_s < target.rate_mcalls_per_s / 4 * 3;
        if level_ncalls < NCALLS_PER_CALL && !has_free_rate {
            return;
        }
        dequeue(row, &holder, now_us);
        issue_grant(row, &holder, 0, now_us);
        recipients.push(holder.clone());
        let loan = row.loans.get(&holder);
        if loan.is_some_and(|loan| loan.waiting_calls > 0) {
            enqueue(row, &holder, now_us);
        }
    }
}

/// Removes `holder`, the first in the queue.
fn dequeue(row: &mut OwnedAccount, holder: &Holder, now_us: u64) {
    row.queue.pop_front();
    row.update(holder, now_us, |loan| loan.is_queued = false);
}

/// Updates a loan to its next grant, which recalls `recall_ncalls`.
pub(super) fn issue_grant(
    row: &mut OwnedAccount,
    holder: &Holder,
    recall_ncalls: u64,
    now_us: u64,
) {
    row.reserve.refill(now_us);
    let Some(loan) = row.loans.get(holder) else {
        return;
    };
    let (next, moved_ncalls) = if recall_ncalls == 0 {
        let next = allocation::next_limits(row, loan);
        (next, allocation::ncalls_to_move(row, loan, next, now_us))
    } else {
        (allocation::limits_after_recall(row, loan, recall_ncalls), 0)
    };
    row.reserve.level_ncalls -= moved_ncalls;
    row.update(holder, now_us, |loan| {
        loan.grant(next, moved_ncalls, recall_ncalls, now_us);
    });
}
