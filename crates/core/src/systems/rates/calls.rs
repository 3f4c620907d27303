//! Admission of calls from this VM's share of their account's rate.

use super::super::{Tick, admission};
use super::holder;
use crate::ids::{AccountName, CallId};
use crate::output::{Decision, Execution, RefusalKind};
use crate::tables::{RateKey, Stage, Timer};

/// Billionths of a call in a thousandth.
const NCALLS_PER_MCALL: u64 = 1_000_000;

/// `retry-after` of a refused call if the share's next refill is unknown.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Lowest `retry-after` of a relayed call, whose caller retries only once.
const MIN_RELAY_RETRY_AFTER_MS: u64 = 300;

/// A call that begins a program waits at most its route's objective divided by this.
const BEGIN_WAIT_DIVISOR: u64 = 5;

/// A relayed call waits at most the time to its deadline divided by this.
const RELAY_WAIT_DIVISOR: u64 = 4;

/// A call whose rate refills soon waits longer by `rate_wait_ms` divided by this.
const REFILL_WAIT_DIVISOR: u64 = 2;

/// Longest wait of a call while the account's owner does not answer or is taking over.
///
/// A takeover after a crash lasts for suspicion, lease and grant: 2 s + 1.1 x 6 s.
const MAX_OWNER_WAIT_US: u64 = 10_000_000;

/// Admits a call if its account's share holds one, or else enqueues it.
pub(super) fn admit_or_queue(tick: &mut Tick<'_>, id: CallId) {
    let now_us = tick.now_us;
    let Some(account) = account_of(tick, id) else {
        return;
    };
    let tables = &mut *tick.tables;
    let Some(share) = tables.shares.get_mut(&account) else {
        return;
    };
    share.arrivals.count(now_us);
    share.last_call_us = now_us;
    let begins_program = tables
        .calls
        .get(&id)
        .is_some_and(|call| call.begins_program);
    share.queue_mut(begins_program).push_back(id);
    serve_waiting(tick, &account);
    if is_waiting(tick, id) {
        let due_us = wait_end_us(tick, id);
        tick.tables.timers.set(due_us, Timer::RateWait(id));
        schedule_refill(tick, &account);
    }
}

/// Admits waiting calls once the bucket is expected to hold a call again.
pub(super) fn handle_refill_due(tick: &mut Tick<'_>, account: &AccountName) {
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    if share.refill_due_us > tick.now_us {
        return;
    }
    share.refill_due_us = 0;
    serve_waiting(tick, account);
    schedule_refill(tick, account);
}

/// Returns when the wait of a call for its rate times out.
///
/// A relayed call times out early enough for its caller to retry.
fn wait_end_us(tick: &Tick<'_>, id: CallId) -> u64 {
    let mut wait_us = tick.settings.rate_wait_ms * 1_000;
    let call = tick.tables.calls.get(&id);
    if let Some((call, relay)) = call.and_then(|call| Some((call, call.relay.as_ref()?))) {
        let remaining_us = relay.deadline_us.saturating_sub(tick.now_us);
        wait_us = wait_us.min(remaining_us / RELAY_WAIT_DIVISOR);
        // Refusing the first call of a program loses no earlier turns, so it can be retried later.
        if call.begins_program {
            wait_us = wait_us.min(relay.route.objective_ms * 1_000 / BEGIN_WAIT_DIVISOR);
        }
    }
    tick.now_us + wait_us
}

/// Admits waiting calls while the share holds calls, those that begin a program last.
pub(super) fn serve_waiting(tick: &mut Tick<'_>, account: &AccountName) {
    serve_queue(tick, account, false);
    let share = tick.tables.shares.get(account);
    if share.is_some_and(|share| share.waiting.is_empty()) {
        serve_queue(tick, account, true);
    }
}

/// Admits calls from the front of one queue while the share holds calls.
fn serve_queue(tick: &mut Tick<'_>, account: &AccountName, begins_program: bool) {
    let now_us = tick.now_us;
    loop {
        remove_ended_calls(tick, account, begins_program);
        let Some(share) = tick.tables.shares.get_mut(account) else {
            return;
        };
        let Some(&id) = share.queue_mut(begins_program).front() else {
            return;
        };
        share.drop_expired(now_us);
        if !share.try_take(begins_program, now_us) {
            return;
        }
        share.queue_mut(begins_program).pop_front();
        admit(tick, id, account);
    }
}

/// Schedules the next attempt to admit waiting calls, and requests a grant if it is needed.
pub(super) fn schedule_refill(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    let begins_program = share.waiting.is_empty();
    if begins_program && share.waiting_to_begin.is_empty() {
        share.retry_us = 0;
        return;
    }
    let is_owned = share.replicated.is_none();
    let ready_us = share
        .ready_in_us(begins_program, now_us)
        .map(|us| now_us + us);
    if let Some(ready_us) = ready_us
        && (share.refill_due_us == 0 || ready_us < share.refill_due_us)
    {
        share.refill_due_us = ready_us;
        let timer = Timer::RateRefill(account.clone());
        tick.tables.timers.set(ready_us, timer);
    }
    if is_owned {
        holder::request_grant_if_starved(tick, account, ready_us);
    }
}

/// Counts and logs an admitted call and moves it to its next stage.
fn admit(tick: &mut Tick<'_>, id: CallId, account: &AccountName) {
    let arrived_us = tick.tables.calls.get(&id).map_or(0, |call| call.arrived_us);
    let rate = RateKey::Account(account.clone());
    tick.tables.peering.count_admitted(&rate);
    tick.log(Decision::Admitted {
        call: id,
        account: account.clone(),
        waited_us: tick.now_us.saturating_sub(arrived_us),
    });
    admission::enter_stage(tick, id, Stage::Home);
}

/// Refuses a call whose wait has timed out, or extends the wait.
pub(super) fn handle_wait_timeout(tick: &mut Tick<'_>, id: CallId) {
    if !is_waiting(tick, id) {
        return;
    }
    let Some(account) = account_of(tick, id) else {
        return;
    };
    let due_us =
        owner_wait_end_us(tick, id, &account).or_else(|| refill_wait_end_us(tick, id, &account));
    if let Some(due_us) = due_us {
        tick.tables.timers.set(due_us, Timer::RateWait(id));
        return;
    }
    log_no_room(tick, id, &account);
    let call = tick.tables.calls.get(&id);
    let begins_program = call.is_some_and(|call| call.begins_program);
    let is_relayed = call.is_some_and(|call| call.relay.is_some());
    let retry_after_ms = tick
        .tables
        .shares
        .get(&account)
        .and_then(|share| share.ready_in_us(begins_program, tick.now_us))
        .map_or(DEFAULT_RETRY_AFTER_MS, |us| us.div_ceil(1_000).max(1));
    let retry_after_ms = if is_relayed {
        retry_after_ms.max(MIN_RELAY_RETRY_AFTER_MS)
    } else {
        retry_after_ms
    };
    admission::refuse(
        tick,
        id,
        RefusalKind::OverRate,
        Execution::NotRun,
        Some(retry_after_ms),
    );
    remove_ended_calls(tick, &account, begins_program);
}

/// Logs the state of the bucket for a call that is refused as over its account's rate.
fn log_no_room(tick: &mut Tick<'_>, call: CallId, account: &AccountName) {
    let now_us = tick.now_us;
    let Some(share) = tick.tables.shares.get(account) else {
        return;
    };
    let mut bucket = share.bucket;
    bucket.refill(now_us);
    let debt_ncalls = share
        .replicated
        .map_or(0, |replicated| replicated.debt_ncalls);
    tick.log(Decision::NoRoom {
        call,
        account: account.clone(),
        level_mcalls: bucket.level_ncalls / NCALLS_PER_MCALL,
        debt_mcalls: debt_ncalls / NCALLS_PER_MCALL,
        burst_mcalls: bucket.burst_ncalls / NCALLS_PER_MCALL,
        rate_mcalls_per_s: bucket.rate_mcalls_per_s,
    });
}

/// Returns the extended end of the wait if the owner does not answer or is taking over.
///
/// Without a share of a settled owner, it is unknown whether the account is over its rate.
fn owner_wait_end_us(tick: &Tick<'_>, id: CallId, account: &AccountName) -> Option<u64> {
    let share = tick.tables.shares.get(account)?;
    let until_us = tick.tables.calls.get(&id)?.arrived_us + MAX_OWNER_WAIT_US;
    if share.replicated.is_some() {
        return None;
    }
    let is_unknown = share.held.is_none() || share.is_owner_taking_over;
    (is_unknown && tick.now_us < until_us).then_some(until_us)
}

/// Returns the extended end of the wait if the bucket soon holds a call for the first in line.
///
/// If refused, its caller would retry at about the time at which the call is admitted.
fn refill_wait_end_us(tick: &Tick<'_>, id: CallId, account: &AccountName) -> Option<u64> {
    let share = tick.tables.shares.get(account)?;
    if share.replicated.is_some() || share.waiting.front() != Some(&id) {
        return None;
    }
    let wait_us = tick.settings.rate_wait_ms * 1_000;
    let latest_us =
        tick.tables.calls.get(&id)?.arrived_us + wait_us + wait_us / REFILL_WAIT_DIVISOR;
    let ready_us = tick.now_us + share.ready_in_us(false, tick.now_us)?.max(1);
    (ready_us <= latest_us).then_some(ready_us)
}

/// Removes refused and abandoned calls from the front of a queue.
fn remove_ended_calls(tick: &mut Tick<'_>, account: &AccountName, begins_program: bool) {
    let tables = &mut *tick.tables;
    let Some(share) = tables.shares.get_mut(account) else {
        return;
    };
    while let Some(id) = share.queue_mut(begins_program).front() {
        let call = tables.calls.get(id);
        if call.is_some_and(|call| call.stage == Stage::Rate) {
            return;
        }
        share.queue_mut(begins_program).pop_front();
    }
}

/// Returns whether a call still waits for its account's rate.
fn is_waiting(tick: &Tick<'_>, id: CallId) -> bool {
    tick.tables
        .calls
        .get(&id)
        .is_some_and(|call| call.stage == Stage::Rate)
}

/// Returns the account that is charged for a call; `None` on a route that is open to all.
fn account_of(tick: &Tick<'_>, id: CallId) -> Option<AccountName> {
    tick.tables.calls.get(&id)?.account.clone()
}
