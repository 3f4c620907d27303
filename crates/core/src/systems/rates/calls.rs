//! Calls that take from this VM's share or wait for it.

use super::super::{Tick, admission};
use super::holder;
use crate::ids::{AccountName, CallId};
use crate::output::{Decision, Execution, RefusalKind};
use crate::tables::{Stage, Timer};

/// Time to wait before a resend if the share gives no hint.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Longest wait of a call while the account's owner does not answer or takes over.
///
/// A takeover after a crash takes suspicion, lease and grant: 2 s + 1.1 x 6 s.
const OWNER_WAIT_US: u64 = 10_000_000;

/// Takes one call from the account's share or lets the call wait.
pub(super) fn request(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let Some(account) = account_of(tick, id) else {
        return;
    };
    let Some(share) = tick.tables.shares.get_mut(&account) else {
        return;
    };
    share.offered.count(now_us);
    share.last_call_us = now_us;
    share.waiting.push_back(id);
    serve(tick, &account);
    if is_waiting(tick, id) {
        let due_us = now_us + tick.settings.rate_wait_ms * 1_000;
        tick.tables.timers.set(due_us, Timer::RateWait(id));
        wait(tick, &account);
    }
}

/// Looks at an account again at the time its bucket was expected to hold a call.
pub(super) fn refilled(tick: &mut Tick<'_>, account: &AccountName) {
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    if share.refill_due_us > tick.now_us {
        return;
    }
    share.refill_due_us = 0;
    serve(tick, account);
    wait(tick, account);
}

/// Admits waiting calls while the share holds calls.
pub(super) fn serve(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    loop {
        skip_gone(tick, account);
        let Some(share) = tick.tables.shares.get_mut(account) else {
            return;
        };
        let Some(&id) = share.waiting.front() else {
            return;
        };
        share.drop_expired(now_us);
        if !share.take(now_us) {
            return;
        }
        share.waiting.pop_front();
        admit(tick, id, account);
    }
}

/// Plans what has to happen while calls wait.
pub(super) fn wait(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    if share.waiting.is_empty() {
        share.retry_us = 0;
        return;
    }
    let is_owned = share.pooled.is_none();
    let ready_us = share.ready_in_us(now_us).map(|us| now_us + us);
    if let Some(ready_us) = ready_us
        && (share.refill_due_us == 0 || ready_us < share.refill_due_us)
    {
        share.refill_due_us = ready_us;
        let timer = Timer::RateRefill(account.clone());
        tick.tables.timers.set(ready_us, timer);
    }
    if is_owned {
        holder::starve(tick, account, ready_us);
    }
}

/// Moves an admitted call on.
fn admit(tick: &mut Tick<'_>, id: CallId, account: &AccountName) {
    let arrived_us = tick.tables.calls.get(&id).map_or(0, |call| call.arrived_us);
    tick.tables.peering.count_admitted(account);
    tick.decide(Decision::Admitted {
        call: id,
        account: account.clone(),
        waited_us: tick.now_us.saturating_sub(arrived_us),
    });
    admission::enter(tick, id, Stage::Home);
}

/// Refuses a call that has waited too long.
pub(super) fn expire(tick: &mut Tick<'_>, id: CallId) {
    if !is_waiting(tick, id) {
        return;
    }
    let Some(account) = account_of(tick, id) else {
        return;
    };
    if let Some(due_us) = owner_wait_us(tick, id, &account) {
        tick.tables.timers.set(due_us, Timer::RateWait(id));
        return;
    }
    let retry_after_ms = tick
        .tables
        .shares
        .get(&account)
        .and_then(|share| share.ready_in_us(tick.now_us))
        .map_or(DEFAULT_RETRY_AFTER_MS, |us| us.div_ceil(1_000).max(1));
    admission::refuse(
        tick,
        id,
        RefusalKind::OverRate,
        Execution::NotRun,
        Some(retry_after_ms),
    );
    skip_gone(tick, &account);
}

/// Returns until when a call waits on for an owner that does not answer or takes over.
///
/// Until then, nobody knows that the account is over its rate.
fn owner_wait_us(tick: &Tick<'_>, id: CallId, account: &AccountName) -> Option<u64> {
    let share = tick.tables.shares.get(account)?;
    let until_us = tick.tables.calls.get(&id)?.arrived_us + OWNER_WAIT_US;
    if share.pooled.is_some() {
        return None;
    }
    let is_unknown = share.held.is_none() || share.is_owner_new;
    (is_unknown && tick.now_us < until_us).then_some(until_us)
}

/// Removes calls from the head of the queue that were refused or abandoned.
fn skip_gone(tick: &mut Tick<'_>, account: &AccountName) {
    let tables = &mut *tick.tables;
    let Some(share) = tables.shares.get_mut(account) else {
        return;
    };
    while let Some(id) = share.waiting.front() {
        let call = tables.calls.get(id);
        if call.is_some_and(|call| call.stage == Stage::Rate) {
            return;
        }
        share.waiting.pop_front();
    }
}

/// Returns whether a call still waits for its rate.
fn is_waiting(tick: &Tick<'_>, id: CallId) -> bool {
    tick.tables
        .calls
        .get(&id)
        .is_some_and(|call| call.stage == Stage::Rate)
}

/// Returns the account of a call.
fn account_of(tick: &Tick<'_>, id: CallId) -> Option<AccountName> {
    tick.tables.calls.get(&id)?.account.clone()
}
