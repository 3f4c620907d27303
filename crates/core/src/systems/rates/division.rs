//! How an owner divides the rate and burst of an account.

use crate::message::Demand;
use crate::tables::{Lending, Limits, Loan, NCALLS_PER_CALL};

/// Smallest weight of a holder with demand, as a part of the account's rate.
///
/// 2%, as in section 4.5 of `docs/design.md`.
const SMALLEST_PART: u64 = 50;

/// A share that is larger than its target by less than this part is left as it is.
///
/// Without it, each small change of demand would shrink some shares and need a confirmation.
const STEADY_PART: u64 = 8;

/// Returns the weight of a holder: its offered rate and the calls that wait.
pub(super) fn weight(demand: &Demand, rate_mcalls_per_s: u64) -> u64 {
    let waiting_mcalls_per_s = demand.waiting_calls.saturating_mul(1_000);
    let wanted = demand.wanted_mcalls_per_s + waiting_mcalls_per_s;
    wanted.max(rate_mcalls_per_s / SMALLEST_PART).max(1)
}

/// Returns the part of an account that a holder should have.
pub(super) fn target(row: &Lending, loan: &Loan) -> Limits {
    Limits {
        rate_mcalls_per_s: scale(row.limits.rate_mcalls_per_s, loan.weight, row.weight),
        burst_ncalls: scale(row.limits.burst_ncalls, loan.weight, row.weight),
    }
}

/// Returns what the next grant says: the target, as far as enough is free.
///
/// A share that could not hold a single call is not lent; its holder gets
/// calls one by one from what is not lent.
pub(super) fn next(row: &Lending, loan: &Loan) -> Limits {
    let target = target(row, loan);
    let counted = loan.counted();
    let keeps = !row.is_over_limits();
    // The calls that come back with a confirmation need the burst that a smaller grant freed.
    let most_ncalls = if loan.open_grants.len() > 1 {
        loan.granted.burst_ncalls
    } else {
        counted.burst_ncalls + row.reserve.burst_ncalls
    };
    let next = Limits {
        rate_mcalls_per_s: step(
            target.rate_mcalls_per_s,
            loan.granted.rate_mcalls_per_s,
            counted.rate_mcalls_per_s + row.reserve.rate_mcalls_per_s,
            keeps,
        ),
        burst_ncalls: step(
            target.burst_ncalls,
            loan.granted.burst_ncalls,
            most_ncalls,
            keeps,
        ),
    };
    if next.burst_ncalls < NCALLS_PER_CALL {
        return Limits::default();
    }
    next
}

/// Returns what a grant says that asks calls back.
///
/// The burst shrinks by as much, so that it is free for the calls that come back.
pub(super) fn recalled(row: &Lending, loan: &Loan, recall_ncalls: u64) -> Limits {
    let next = next(row, loan);
    let granted_ncalls = loan.granted.burst_ncalls;
    let left_ncalls = granted_ncalls.saturating_sub(recall_ncalls);
    Limits {
        burst_ncalls: next.burst_ncalls.min(left_ncalls),
        ..next
    }
}

/// Moves from what was granted towards a target.
fn step(target: u64, granted: u64, most: u64, keeps: bool) -> u64 {
    let is_near = target <= granted && granted - target <= granted / STEADY_PART;
    let next = if keeps && is_near { granted } else { target };
    next.min(most)
}

/// Returns how many calls move to a holder with a grant.
///
/// Calls that wait come first. Besides, the holder gets its part of the calls
/// that have gathered, and as many as belong to the burst that it gets.
pub(super) fn calls(row: &Lending, loan: &Loan, next: Limits, now_us: u64) -> u64 {
    let level_ncalls = loan.level_at_ncalls(now_us);
    let free_ncalls = row.reserve.level_ncalls;
    let counted_ncalls = loan.counted().burst_ncalls;
    let grown_ncalls = next.burst_ncalls.saturating_sub(counted_ncalls);
    let along_ncalls = scale(free_ncalls, grown_ncalls, row.reserve.burst_ncalls);
    let part_ncalls = scale(free_ncalls, loan.weight, row.weight);
    let room_ncalls = next.burst_ncalls.saturating_sub(level_ncalls);
    needed(loan, level_ncalls, free_ncalls)
        .max(along_ncalls)
        .max(part_ncalls.min(room_ncalls))
        .min(free_ncalls)
}

/// Returns the calls that let waiting calls run, in whole calls with the holder's own.
fn needed(loan: &Loan, level_ncalls: u64, free_ncalls: u64) -> u64 {
    let wanted_ncalls = loan.waiting_calls.saturating_mul(NCALLS_PER_CALL);
    let reached_ncalls = wanted_ncalls.min(level_ncalls + free_ncalls);
    let whole_ncalls = reached_ncalls / NCALLS_PER_CALL * NCALLS_PER_CALL;
    whole_ncalls.saturating_sub(level_ncalls)
}

/// Returns `total` x `part` / `whole`, rounded down.
fn scale(total: u64, part: u64, whole: u64) -> u64 {
    let scaled = u128::from(total) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(scaled).unwrap_or(total)
}
