//! Allocation of an account's rate and burst to the holders of its shares.

use crate::message::Demand;
use crate::tables::{Loan, NCALLS_PER_CALL, OwnedAccount, RateLimit};

/// The lowest weight of a holder is the account's rate divided by this.
///
/// This is 2%, as in section 4.5 of `docs/design.md`.
const MIN_WEIGHT_DIVISOR: u64 = 50;

/// A share that exceeds its target by at most its size divided by this isn't shrunk.
///
/// Without this hysteresis, each small change of demand would shrink some shares, and each
/// shrunk share needs a confirmation.
const HYSTERESIS_DIVISOR: u64 = 8;

/// Returns the weight of a holder: its offered rate, plus the rate that admits its waiting calls
/// within a second.
pub(super) fn holder_weight(demand: &Demand, rate_mcalls_per_s: u64) -> u64 {
    let waiting_mcalls_per_s = demand.waiting_calls.saturating_mul(1_000);
    let wanted = demand.wanted_mcalls_per_s + waiting_mcalls_per_s;
    wanted.max(rate_mcalls_per_s / MIN_WEIGHT_DIVISOR).max(1)
}

/// Returns a holder's share of the account's rate and burst in proportion to its weight.
pub(super) fn target_limits(row: &OwnedAccount, loan: &Loan) -> RateLimit {
    RateLimit {
        rate_mcalls_per_s: scale(row.limits.rate_mcalls_per_s, loan.weight, row.weight),
        burst_ncalls: scale(row.limits.burst_ncalls, loan.weight, row.weight),
    }
}

/// Returns the limits of the next grant: the target, capped by what isn't lent to others.
///
/// A share whose burst is below one call isn't lent; its holder receives single calls from the
/// reserve instead.
pub(super) fn next_limits(row: &OwnedAccount, loan: &Loan) -> RateLimit {
    let target = target_limits(row, loan);
    let counted = loan.upper_bound();
    let may_keep = !row.is_over_limits();
    // While a grant is unconfirmed, the burst that it frees is kept for the calls that return
    // with the confirmation.
    let max_burst_ncalls = if loan.open_grants.len() > 1 {
        loan.granted.burst_ncalls
    } else {
        counted.burst_ncalls + row.reserve.burst_ncalls
    };
    let next = RateLimit {
        rate_mcalls_per_s: apply_hysteresis(
            target.rate_mcalls_per_s,
            loan.granted.rate_mcalls_per_s,
            counted.rate_mcalls_per_s + row.reserve.rate_mcalls_per_s,
            may_keep,
        ),
        burst_ncalls: apply_hysteresis(
            target.burst_ncalls,
            loan.granted.burst_ncalls,
            max_burst_ncalls,
            may_keep,
        ),
    };
    if next.burst_ncalls < NCALLS_PER_CALL {
        return RateLimit::default();
    }
    next
}

/// Returns the limits of a grant that recalls some calls.
///
/// The burst shrinks by as much, so that the reserve can hold the calls that are returned.
pub(super) fn limits_after_recall(
    row: &OwnedAccount,
    loan: &Loan,
    recall_ncalls: u64,
) -> RateLimit {
    let next = next_limits(row, loan);
    let granted_ncalls = loan.granted.burst_ncalls;
    let remaining_ncalls = granted_ncalls.saturating_sub(recall_ncalls);
    RateLimit {
        burst_ncalls: next.burst_ncalls.min(remaining_ncalls),
        ..next
    }
}

/// Returns `target`, or `granted` if that is slightly higher and may be kept, capped at `max`.
fn apply_hysteresis(target: u64, granted: u64, max: u64, may_keep: bool) -> u64 {
    let is_near = target <= granted && granted - target <= granted / HYSTERESIS_DIVISOR;
    let next = if may_keep && is_near { granted } else { target };
    next.min(max)
}

/// Returns how much of the reserve's level moves to a holder with its next grant.
///
/// It covers the holder's waiting calls, its weighted part of the reserve as far as its bucket
/// has room, and the part of the reserve that belongs to its additional burst.
pub(super) fn ncalls_to_move(row: &OwnedAccount, loan: &Loan, next: RateLimit, now_us: u64) -> u64 {
    let level_ncalls = loan.estimate_level_ncalls(now_us);
    let free_ncalls = row.reserve.level_ncalls;
    let counted_ncalls = loan.upper_bound().burst_ncalls;
    let added_burst_ncalls = next.burst_ncalls.saturating_sub(counted_ncalls);
    let burst_part_ncalls = scale(free_ncalls, added_burst_ncalls, row.reserve.burst_ncalls);
    let weighted_ncalls = scale(free_ncalls, loan.weight, row.weight);
    let room_ncalls = next.burst_ncalls.saturating_sub(level_ncalls);
    needed_ncalls(loan, level_ncalls, free_ncalls)
        .max(burst_part_ncalls)
        .max(weighted_ncalls.min(room_ncalls))
        .min(free_ncalls)
}

/// Returns what the holder lacks to admit as many waiting calls as its level and the free calls
/// together allow.
fn needed_ncalls(loan: &Loan, level_ncalls: u64, free_ncalls: u64) -> u64 {
    let wanted_ncalls = loan.waiting_calls.saturating_mul(NCALLS_PER_CALL);
    let admissible_ncalls = wanted_ncalls.min(level_ncalls + free_ncalls);
    let whole_ncalls = admissible_ncalls / NCALLS_PER_CALL * NCALLS_PER_CALL;
    whole_ncalls.saturating_sub(level_ncalls)
}

/// Returns `total` x `part` / `whole`, rounded down.
fn scale(total: u64, part: u64, whole: u64) -> u64 {
    let scaled = u128::from(total) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(scaled).unwrap_or(total)
}
