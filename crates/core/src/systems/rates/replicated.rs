//! Rate limits without owners: each VM keeps a copy of the bucket of each account.
//!
//! The copies start at a low level, so that a restart of one or all VMs doesn't grant a second
//! burst. A group of VMs that can reach each other uses its part of the rate; see
//! `systems::peers`.

use super::super::Tick;
use super::{calls, upstreams};
use crate::ids::AccountName;
use crate::tables::{Bucket, NCALLS_PER_CALL, RateKey, RateLimit, ReplicatedBucket, Share};

/// Below the burst divided by this, each VM admits calls only within its own part of the rate.
const RESERVE_DIVISOR: u64 = 10;

/// Level below which no new program is admitted, in percent of the burst.
///
/// Running programs need several calls each, and a program loses them all if one is refused.
const MIN_BEGIN_LEVEL_PERCENT: u64 = 40;

/// After a restart of this VM, the level of a bucket is at most its burst divided by this.
const INITIAL_LEVEL_DIVISOR: u64 = 4;

/// After a restart of this VM, the level is at most what the account's rate adds in this time.
const MAX_INITIAL_LEVEL_US: u64 = 500_000;

/// Applies an account's published limits to this VM's copy of its bucket.
pub(super) fn apply_limits(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let Some(limits) = tick
        .tables
        .accounts
        .get(account)
        .map(|row| row.rate_limit())
    else {
        return;
    };
    let sharing = tick.tables.peering.sharing();
    // An account of the first configuration that this VM reads may have used its burst on other
    // VMs already; one that is published later is new to all VMs.
    let starts_full = tick.settings.is_first_start || tick.tables.fleet.revision.0 > 0;
    let shares = &mut tick.tables.shares;
    let is_new = !shares.contains_key(account);
    let share = shares.get_or_insert_with(account, Share::default);
    share.bucket.refill(now_us);
    let limits = spread_over_window(limits, tick.settings.rate_window_ms);
    let rate_mcalls_per_s = sharing.usable(limits.rate_mcalls_per_s);
    let burst_ncalls = limits.burst_ncalls / sharing.known_vms * sharing.reachable_vms;
    let level_ncalls = match is_new {
        true if starts_full => burst_ncalls,
        true => {
            (burst_ncalls / INITIAL_LEVEL_DIVISOR).min(rate_mcalls_per_s * MAX_INITIAL_LEVEL_US)
        }
        false => share.bucket.level_ncalls.min(burst_ncalls),
    };
    share.bucket = Bucket {
        rate_mcalls_per_s,
        burst_ncalls,
        level_ncalls,
        updated_us: now_us,
    };
    let previous = share.replicated.unwrap_or_default();
    let mut replicated = ReplicatedBucket {
        reserve_ncalls: burst_ncalls / RESERVE_DIVISOR,
        begin_reserve_ncalls: burst_ncalls * MIN_BEGIN_LEVEL_PERCENT / 100,
        ..previous
    };
    replicated.resize_own_part(sharing.own_part(rate_mcalls_per_s), now_us);
    share.replicated = Some(replicated);
}

/// Turns half of the burst into additional rate if calls are counted over a window.
///
/// Half of the burst may be used at once; the other half is spread over the window. No window
/// holds more calls than if the whole burst were used at once, and an account that stays at its
/// limit can use its burst in every window.
fn spread_over_window(limits: RateLimit, window_ms: u64) -> RateLimit {
    if window_ms == 0 {
        return limits;
    }
    let spread_ncalls = limits.burst_ncalls / 2;
    RateLimit {
        rate_mcalls_per_s: limits.rate_mcalls_per_s + spread_ncalls / (window_ms * 1_000),
        burst_ncalls: limits.burst_ncalls - spread_ncalls,
    }
}

/// Deducts calls that another VM has admitted from this VM's copy of a bucket.
pub(crate) fn debit_remote_calls(tick: &mut Tick<'_>, rate: &RateKey, ncalls: u64) {
    match rate {
        RateKey::Account(account) => debit_account(tick, account, ncalls),
        RateKey::Upstream(name) => upstreams::debit_remote_calls(tick, name, ncalls),
    }
}

/// Deducts calls from this VM's copy of the bucket of an account.
fn debit_account(tick: &mut Tick<'_>, account: &AccountName, ncalls: u64) {
    let now_us = tick.now_us;
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    if let Some(replicated) = &mut share.replicated {
        replicated.repay_debt(&mut share.bucket, now_us);
        replicated.debit(&mut share.bucket, ncalls);
    }
}

/// Refunds an admitted call that did not run.
pub(crate) fn refund_call(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    let Some(replicated) = &mut share.replicated else {
        return;
    };
    let bucket = &mut share.bucket;
    bucket.refill(now_us);
    bucket.level_ncalls = (bucket.level_ncalls + NCALLS_PER_CALL).min(bucket.burst_ncalls);
    replicated.repay_debt(bucket, now_us);
    let rate = RateKey::Account(account.clone());
    tick.tables.peering.uncount_admitted(&rate);
}

/// Rescales all buckets after a change in the number of VMs that share the rates.
pub(crate) fn rescale_buckets(tick: &mut Tick<'_>) {
    let accounts = tick.tables.accounts.iter();
    let accounts: Vec<AccountName> = accounts.map(|(account, _)| account.clone()).collect();
    for account in accounts {
        apply_limits(tick, &account);
        calls::serve_waiting(tick, &account);
    }
    upstreams::resize_all(tick);
}
