//! The holder of a share: sends demands, applies and confirms grants, and releases idle shares.

use super::super::Tick;
use super::calls;
use crate::ids::{AccountName, VmName};
use crate::message::{Demand, DemandKind, Grant, HeldShare, RatesMessage};
use crate::tables::{Bucket, HeldGrant, Share, Timer};

/// Time after the last call at which a share is released; see section 4.5 of `docs/design.md`.
const IDLE_TIMEOUT_US: u64 = 5_000_000;

/// Renewals of a share within the validity of a grant.
///
/// With 8, grants outlive a crashed owner by at least 7/8 of `grant_ms`, 2.6 s, and suspicion
/// takes 2 s. With 3, most shares expired before the new owner could adopt them.
const RENEWALS_PER_GRANT: u64 = 8;

/// No demand is sent for a call that this VM's own bucket admits within this time, or within
/// this time of the last one.
///
/// This is about two round trips between failure domains, so a demand would not be faster.
const MIN_DEMAND_DELAY_US: u64 = 5_000;

/// Initial pause before a demand is resent while calls wait.
///
/// This is several round trips, so that only lost messages cause a resend.
const FIRST_RETRY_US: u64 = 20_000;

/// Longest pause before a demand is resent while calls wait.
const MAX_RETRY_US: u64 = 500_000;

/// Caps the share of an account at its published limits.
pub(super) fn apply_limits(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let tables = &mut *tick.tables;
    let Some(limits) = tables.accounts.get(account).map(|row| row.rate_limit()) else {
        return;
    };
    let share = tables.shares.get_or_insert_with(account, Share::default);
    let bucket = &mut share.bucket;
    bucket.refill(now_us);
    bucket.rate_mcalls_per_s = bucket.rate_mcalls_per_s.min(limits.rate_mcalls_per_s);
    bucket.burst_ncalls = bucket.burst_ncalls.min(limits.burst_ncalls);
    bucket.refill(now_us);
}

/// Requests a grant for waiting calls unless they are admitted soon or a demand is in flight.
pub(super) fn request_grant_if_starved(
    tick: &mut Tick<'_>,
    account: &AccountName,
    ready_us: Option<u64>,
) {
    let now_us = tick.now_us;
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    let is_soon = ready_us.is_some_and(|ready_us| ready_us <= now_us + MIN_DEMAND_DELAY_US);
    if share.retry_us > 0 || is_soon {
        return;
    }
    share.retry_us = FIRST_RETRY_US;
    let next_us = share.last_ask_us + MIN_DEMAND_DELAY_US;
    if share.demand_seq > 0 && next_us > now_us {
        schedule_demand(tick, account, next_us);
        return;
    }
    request_grant(tick, account);
}

/// Sends a demand for a grant and schedules the next one.
pub(super) fn request_grant(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let renewal_us = tick.settings.grant_ms * 1_000 / RENEWALS_PER_GRANT;
    send_demand(tick, account, DemandKind::Ask);
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    share.last_ask_us = now_us;
    share.demand_due_us = 0;
    let mut due_us = now_us + renewal_us;
    if share.waiting.is_empty() {
        share.retry_us = 0;
    } else {
        due_us = now_us + share.retry_us.clamp(FIRST_RETRY_US, renewal_us);
        share.retry_us = (share.retry_us * 2).clamp(FIRST_RETRY_US, MAX_RETRY_US);
    }
    schedule_demand(tick, account, due_us);
}

/// Renews the share or resends the demand, or releases a share that is idle.
pub(super) fn renew_or_release(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    if share.demand_due_us == 0 || share.demand_due_us > now_us {
        return;
    }
    share.demand_due_us = 0;
    let is_idle = share.waiting.is_empty() && now_us >= share.last_call_us + IDLE_TIMEOUT_US;
    if is_idle {
        release(tick, account);
    } else {
        request_grant(tick, account);
    }
}

/// Releases a share and returns the calls in its bucket to the owner.
fn release(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    share.drop_expired(now_us);
    let Some(held) = share.held.as_mut() else {
        return;
    };
    share.bucket.refill(now_us);
    held.returned_ncalls += std::mem::take(&mut share.bucket.level_ncalls);
    send_demand(tick, account, DemandKind::Release);
    if let Some(share) = tick.tables.shares.get_mut(account) {
        share.drop_grant();
    }
}

/// Sends a demand with the state of this VM's share to the account's owner.
fn send_demand(tick: &mut Tick<'_>, account: &AccountName, kind: DemandKind) {
    let now_us = tick.now_us;
    let epoch = tick.tables.view.epoch;
    let Some(owner) = owner_of(tick, account) else {
        return;
    };
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    share.drop_expired(now_us);
    share.bucket.refill(now_us);
    share.demand_seq += 1;
    let bucket = share.bucket;
    let demand = Demand {
        kind,
        account: account.clone(),
        epoch,
        seq: share.demand_seq,
        floor_seq: share.floor_seq,
        sent_us: now_us,
        wanted_mcalls_per_s: share.arrivals.rate_mcalls_per_s(now_us),
        waiting_calls: share.waiting.len() as u64,
        level_ncalls: bucket.level_ncalls,
        held: share.held.map(|held| describe_share(&held, &bucket)),
    };
    tick.send(&owner, RatesMessage::Demand(Box::new(demand)));
}

/// Returns the state of a share as it is reported to the owner.
fn describe_share(held: &HeldGrant, bucket: &Bucket) -> HeldShare {
    HeldShare {
        id: held.id,
        applied_seq: held.applied_seq,
        rate_mcalls_per_s: bucket.rate_mcalls_per_s,
        burst_ncalls: bucket.burst_ncalls,
        received_ncalls: held.received_ncalls,
        returned_ncalls: held.returned_ncalls,
        recalled_ncalls: held.recalled_ncalls,
    }
}

/// Returns the owner of an account, which is computed once for each view.
pub(super) fn owner_of(tick: &mut Tick<'_>, account: &AccountName) -> Option<VmName> {
    let tables = &mut *tick.tables;
    let epoch = tables.view.epoch;
    let share = tables.shares.get_mut(account)?;
    if let Some((known_epoch, owner)) = &share.owner
        && *known_epoch == epoch
    {
        return Some(owner.clone());
    }
    let owner = tables.view.account_owner(account)?.clone();
    share.owner = Some((epoch, owner.clone()));
    Some(owner)
}

/// Applies a grant unless it is expired, outdated or for another incarnation.
pub(super) fn handle_grant(tick: &mut Tick<'_>, grant: &Grant) {
    let now_us = tick.now_us;
    let is_current = grant.holder == tick.settings.incarnation
        && grant.epoch >= tick.tables.view.epoch
        && now_us < grant.sent_us + grant.valid_ms * 1_000;
    let Some(share) = tick.tables.shares.get_mut(&grant.account) else {
        return;
    };
    share.drop_expired(now_us);
    if !is_current || !is_newer(share, grant) {
        return;
    }
    let previous = share.bucket;
    let deposit_ncalls = deposit(share, grant, now_us);
    calls::serve_waiting(tick, &grant.account);
    let returned_ncalls = apply_burst(tick, grant, previous.burst_ncalls);
    // The owner counts the larger of both grants as lent until the smaller one is confirmed.
    let is_smaller = grant.rate_mcalls_per_s < previous.rate_mcalls_per_s
        || grant.burst_ncalls < previous.burst_ncalls + deposit_ncalls;
    if is_smaller || returned_ncalls > 0 {
        send_demand(tick, &grant.account, DemandKind::Confirm);
    }
    calls::schedule_refill(tick, &grant.account);
}

/// Returns whether a grant follows the one in force, or opens a share that isn't outdated.
fn is_newer(share: &Share, grant: &Grant) -> bool {
    match &share.held {
        Some(held) if held.id == grant.id => grant.seq > held.applied_seq,
        _ => grant.answers_seq >= share.floor_seq,
    }
}

/// Applies the rate of a grant and deposits the calls that came with it.
///
/// The burst is not enforced before [`apply_burst`], so that waiting calls can use all of them.
fn deposit(share: &mut Share, grant: &Grant, now_us: u64) -> u64 {
    let is_same_share = share.held.is_some_and(|held| held.id == grant.id);
    if !is_same_share {
        share.drop_grant();
        share.floor_seq = grant.answers_seq;
    }
    share.is_owner_taking_over = grant.is_taking_over;
    let bucket = &mut share.bucket;
    bucket.refill(now_us);
    let held = share.held.get_or_insert(HeldGrant {
        id: grant.id,
        applied_seq: 0,
        until_us: 0,
        received_ncalls: 0,
        returned_ncalls: 0,
        recalled_ncalls: 0,
    });
    let deposit_ncalls = grant.moved_ncalls.saturating_sub(held.received_ncalls);
    held.applied_seq = grant.seq;
    held.until_us = grant.sent_us + grant.valid_ms * 1_000;
    held.received_ncalls += deposit_ncalls;
    bucket.rate_mcalls_per_s = grant.rate_mcalls_per_s;
    bucket.level_ncalls += deposit_ncalls;
    bucket.burst_ncalls = bucket.level_ncalls;
    deposit_ncalls
}

/// Applies the burst of a grant; returns how many calls go back as excess or recalled.
fn apply_burst(tick: &mut Tick<'_>, grant: &Grant, previous_burst_ncalls: u64) -> u64 {
    let tables = &mut *tick.tables;
    let limits = tables
        .accounts
        .get(&grant.account)
        .map(|row| row.rate_limit());
    let (Some(limits), Some(share)) = (limits, tables.shares.get_mut(&grant.account)) else {
        return 0;
    };
    let Some(held) = share.held.as_mut() else {
        return 0;
    };
    let bucket = &mut share.bucket;
    bucket.rate_mcalls_per_s = grant.rate_mcalls_per_s.min(limits.rate_mcalls_per_s);
    bucket.burst_ncalls = grant.burst_ncalls.min(limits.burst_ncalls);
    // A series of shrinking grants must not take away what has accumulated for a waiting call.
    let new_level_ncalls = if share.waiting.is_empty() {
        scale_level(
            bucket.level_ncalls,
            previous_burst_ncalls,
            bucket.burst_ncalls,
        )
    } else {
        bucket.level_ncalls.min(bucket.burst_ncalls)
    };
    let excess_ncalls = bucket.level_ncalls - new_level_ncalls;
    bucket.level_ncalls -= excess_ncalls;
    let newly_recalled_ncalls = grant.recalled_ncalls.saturating_sub(held.recalled_ncalls);
    let recalled_ncalls = newly_recalled_ncalls
        .saturating_sub(excess_ncalls)
        .min(bucket.level_ncalls);
    bucket.level_ncalls -= recalled_ncalls;
    held.recalled_ncalls += newly_recalled_ncalls;
    held.returned_ncalls += excess_ncalls + recalled_ncalls;
    excess_ncalls + recalled_ncalls
}

/// Returns the level of a bucket whose burst changes.
///
/// A bucket that shrinks keeps its level in proportion: if it were full, the calls that its rate
/// adds would be lost.
fn scale_level(level_ncalls: u64, previous_burst_ncalls: u64, burst_ncalls: u64) -> u64 {
    if burst_ncalls >= previous_burst_ncalls {
        return level_ncalls.min(burst_ncalls);
    }
    let level_ncalls = u128::from(level_ncalls.min(previous_burst_ncalls));
    let scaled_ncalls = level_ncalls * u128::from(burst_ncalls) / u128::from(previous_burst_ncalls);
    u64::try_from(scaled_ncalls).unwrap_or(burst_ncalls)
}

/// Schedules the next demand unless one is scheduled for an earlier time.
fn schedule_demand(tick: &mut Tick<'_>, account: &AccountName, due_us: u64) {
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    if share.demand_due_us != 0 && share.demand_due_us <= due_us {
        return;
    }
    share.demand_due_us = due_us;
    let timer = Timer::ShareDemand(account.clone());
    tick.tables.timers.set(due_us, timer);
}
