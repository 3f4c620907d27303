//! Changes of the owner of an account.

use std::collections::HashMap;

use smallvec::smallvec;

use super::super::{Sender, Tick};
use super::{holder, owner};
use crate::config::CoreSettings;
use crate::ids::{AccountName, Epoch, VmName};
use crate::message::{Demand, RatesMessage, Unlent};
use crate::tables::{Bucket, Holder, Loan, OwnedAccount, RateLimit, Takeover, Timer};

/// Interval at which members that have not answered are queried again.
const QUERY_RETRY_US: u64 = 200_000;

/// The epoch of the first view; no account had an owner before it.
const FIRST_EPOCH: Epoch = Epoch(1);

/// Hands over accounts that this VM no longer owns and takes over new ones when the view changes.
pub(super) fn apply_view_change(tick: &mut Tick<'_>) {
    let epoch = tick.tables.view.epoch;
    let previous = tick.tables.ownership.epoch;
    if epoch == previous {
        return;
    }
    let ownership = &mut tick.tables.ownership;
    ownership.epoch = epoch;
    ownership.learned_us = tick.now_us;
    ownership.taken_over.clear();
    ownership.unanswered.clear();
    ownership.unlent = Default::default();
    let accounts: Vec<_> = tick
        .tables
        .accounts
        .iter()
        .map(|(name, _)| name.clone())
        .collect();
    let is_next = previous.next() == epoch;
    let mut reports = HashMap::<VmName, Vec<Unlent>>::new();
    for account in &accounts {
        if let Some((successor, unlent)) = remove_row(tick, account, is_next) {
            reports.entry(successor).or_default().push(unlent);
        }
        ensure_row(tick, account);
        continue_takeover(tick, account);
    }
    for account in &accounts {
        report_share(tick, account);
    }
    // Sorted by name, so that the same inputs give the same outputs.
    let mut reports: Vec<_> = reports.into_iter().collect();
    reports.sort_by(|a, b| a.0.cmp(&b.0));
    for (successor, unlent) in reports {
        tick.send(&successor, RatesMessage::ShareReport { epoch, unlent });
    }
    start_queries(tick);
}

/// Removes an account that this VM may no longer lend; returns its new owner and what was unlent.
///
/// What is unlent is only known if this VM was the owner in the previous view.
fn remove_row(
    tick: &mut Tick<'_>,
    account: &AccountName,
    is_next: bool,
) -> Option<(VmName, Unlent)> {
    tick.tables.owned_accounts.get(account)?;
    let is_still_owner = is_owner(tick, account);
    if is_still_owner && is_next {
        return None;
    }
    let mut row = tick.tables.owned_accounts.remove(account)?;
    if is_still_owner || !is_next {
        return None;
    }
    row.reserve.refill(tick.now_us);
    let unlent = Unlent {
        account: account.clone(),
        rate_mcalls_per_s: row.reserve.rate_mcalls_per_s,
        burst_ncalls: row.reserve.burst_ncalls,
        calls_ncalls: row.reserve.level_ncalls,
    };
    let ownership = &mut tick.tables.ownership;
    ownership.unlent.insert(account.clone(), unlent.clone());
    let successor = tick.tables.view.account_owner(account)?;
    Some((successor.clone(), unlent))
}

/// Returns whether this incarnation of this VM owns an account.
fn is_owner(tick: &Tick<'_>, account: &AccountName) -> bool {
    let view = &tick.tables.view;
    let owner = view
        .account_owner(account)
        .filter(|vm| **vm == tick.settings.vm);
    let member = owner.and_then(|vm| view.member(vm));
    member.is_some_and(|member| member.incarnation == tick.settings.incarnation)
}

/// Creates the row of an account if this VM owns it; returns whether there is a row.
pub(super) fn ensure_row(tick: &mut Tick<'_>, account: &AccountName) -> bool {
    if tick.tables.owned_accounts.contains_key(account) {
        return true;
    }
    let tables = &*tick.tables;
    let limits = tables.accounts.get(account).map(|row| row.rate_limit());
    let Some(limits) = limits.filter(|_| is_owner(tick, account)) else {
        return false;
    };
    let now_us = tick.now_us;
    let wait_ms = tick.settings.lease_ms + tick.settings.grant_ms;
    let until_us = tables.ownership.learned_us + CoreSettings::with_clock_margin_us(wait_ms);
    let mut row = OwnedAccount::default();
    if tables.view.epoch == FIRST_EPOCH || now_us >= until_us {
        row.reserve = Bucket::full(limits.rate_mcalls_per_s, limits.burst_ncalls, now_us);
        row.limits = limits;
    } else {
        row.reserve.updated_us = now_us;
        row.takeover = Some(Takeover {
            until_us,
            ..Takeover::default()
        });
        let timer = Timer::TakeoverEnd(account.clone());
        tick.tables.timers.set(until_us, timer);
        let ownership = &mut tick.tables.ownership;
        ownership.taken_over.push(account.clone());
    }
    tick.tables.owned_accounts.insert(account.clone(), row);
    true
}

/// Includes a takeover that began in an earlier view in the queries of this one.
fn continue_takeover(tick: &mut Tick<'_>, account: &AccountName) {
    let row = tick.tables.owned_accounts.get(account);
    let is_pending = row.is_some_and(|row| row.takeover.is_some());
    let taken_over = &mut tick.tables.ownership.taken_over;
    if is_pending && taken_over.last() != Some(account) {
        taken_over.push(account.clone());
    }
}

/// Reports a share to the account's owner if that has changed.
fn report_share(tick: &mut Tick<'_>, account: &AccountName) {
    let Some(share) = tick.tables.shares.get_mut(account) else {
        return;
    };
    let previous_owner = share.owner.take().map(|(_, owner)| owner);
    let is_in_use = share.held.is_some() || !share.waiting.is_empty();
    if is_in_use && holder::owner_of(tick, account) != previous_owner {
        holder::request_grant(tick, account);
    }
}

/// Queries all other members about the accounts that were taken over.
fn start_queries(tick: &mut Tick<'_>) {
    let tables = &mut *tick.tables;
    if tables.ownership.taken_over.is_empty() {
        return;
    }
    let others = tables.view.members.iter().map(|member| &member.vm);
    let others = others.filter(|vm| **vm != tick.settings.vm).cloned();
    tables.ownership.unanswered = others.collect();
    send_queries(tick, tick.tables.view.epoch);
}

/// Queries the members that have not answered, until the takeovers have ended.
pub(super) fn send_queries(tick: &mut Tick<'_>, epoch: Epoch) {
    let ownership = &tick.tables.ownership;
    let wait_ms = tick.settings.lease_ms + tick.settings.grant_ms;
    let until_us = ownership.learned_us + CoreSettings::with_clock_margin_us(wait_ms);
    let is_over = ownership.epoch != epoch || tick.now_us >= until_us;
    if is_over || ownership.unanswered.is_empty() {
        return;
    }
    let accounts = ownership.taken_over.clone();
    for member in ownership.unanswered.clone() {
        let accounts = accounts.clone();
        tick.send(&member, RatesMessage::ShareQuery { epoch, accounts });
    }
    let due_us = tick.now_us + QUERY_RETRY_US;
    tick.tables.timers.set(due_us, Timer::ShareQuery(epoch));
}

/// Answers the query of a new owner with shares in use and with what this VM had not lent.
pub(super) fn handle_query(
    tick: &mut Tick<'_>,
    sender: &Sender,
    epoch: Epoch,
    accounts: &[AccountName],
) {
    if tick.tables.view.epoch != epoch {
        return;
    }
    for account in accounts {
        let share = tick.tables.shares.get(account);
        if share.is_some_and(|share| share.held.is_some() || !share.waiting.is_empty()) {
            holder::request_grant(tick, account);
        }
    }
    let recorded = &tick.tables.ownership.unlent;
    let unlent = accounts.iter().filter_map(|account| recorded.get(account));
    let unlent = unlent.cloned().collect();
    tick.send(&sender.vm, RatesMessage::ShareReport { epoch, unlent });
}

/// Adds what an earlier owner had not lent to the accounts taken over.
pub(super) fn handle_report(tick: &mut Tick<'_>, sender: Sender, epoch: Epoch, unlent: &[Unlent]) {
    if tick.tables.view.epoch != epoch {
        return;
    }
    let ownership = &mut tick.tables.ownership;
    ownership.unanswered.retain(|vm| *vm != sender.vm);
    let reporter = Holder {
        vm: sender.vm,
        incarnation: sender.incarnation,
    };
    for unlent in unlent {
        let Some(takeover) = takeover_mut(tick, &unlent.account) else {
            continue;
        };
        if !takeover.reported.insert(reporter.clone()) {
            continue;
        }
        let limits = RateLimit {
            rate_mcalls_per_s: unlent.rate_mcalls_per_s,
            burst_ncalls: unlent.burst_ncalls,
        };
        add_known_limits(tick, &unlent.account, limits);
        if let Some(row) = tick.tables.owned_accounts.get_mut(&unlent.account) {
            row.deposit(unlent.calls_ncalls);
        }
        owner::process_queue(tick, &unlent.account);
    }
}

/// Inserts a loan for a share that an earlier owner lent.
pub(super) fn adopt_share(tick: &mut Tick<'_>, holder: &Holder, demand: &Demand) {
    let Some(held) = &demand.held else {
        return;
    };
    let limits = RateLimit {
        rate_mcalls_per_s: held.rate_mcalls_per_s,
        burst_ncalls: held.burst_ncalls,
    };
    if let Some(takeover) = takeover_mut(tick, &demand.account) {
        takeover.adopted.insert(held.id);
    }
    add_known_limits(tick, &demand.account, limits);
    let validity_us = CoreSettings::with_clock_margin_us(tick.settings.grant_ms);
    let loan = Loan {
        expires_us: tick.now_us + validity_us,
        grant_seq: held.applied_seq,
        granted: limits,
        open_grants: smallvec![(held.applied_seq, limits)],
        moved_ncalls: held.received_ncalls,
        received_ncalls: held.received_ncalls,
        returned_ncalls: held.returned_ncalls,
        recalled_ncalls: held.recalled_ncalls,
        ..Loan::new(held.id, demand.seq)
    };
    owner::insert_loan(tick, &demand.account, holder, loan);
}

/// Returns the takeover of an account if one is under way.
fn takeover_mut<'a>(tick: &'a mut Tick<'_>, account: &AccountName) -> Option<&'a mut Takeover> {
    let row = tick.tables.owned_accounts.get_mut(account)?;
    row.takeover.as_mut()
}

/// Raises the limits that may be lent during a takeover by what became known to be free or adopted.
fn add_known_limits(tick: &mut Tick<'_>, account: &AccountName, limits: RateLimit) {
    let tables = &mut *tick.tables;
    let published = tables.accounts.get(account).map(|row| row.rate_limit());
    let (Some(published), Some(row)) = (published, tables.owned_accounts.get_mut(account)) else {
        return;
    };
    let Some(takeover) = row.takeover.as_mut() else {
        return;
    };
    takeover.known_limits = takeover.known_limits.plus(limits);
    let limits = takeover.known_limits.lower(published);
    row.set_limits(limits, tick.now_us);
}

/// Ends a takeover once all earlier grants have expired, so that the full limits may be lent.
pub(super) fn end_takeover(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let tables = &*tick.tables;
    let row = tables.owned_accounts.get(account);
    let Some(takeover) = row.and_then(|row| row.takeover.as_ref()) else {
        return;
    };
    let until_us = takeover.until_us;
    if now_us < until_us || !owner::is_confirmed_since(tick, until_us) {
        let due_us = until_us.max(now_us + owner::LEASE_RETRY_US);
        let timer = Timer::TakeoverEnd(account.clone());
        tick.tables.timers.set(due_us, timer);
        return;
    }
    let tables = &mut *tick.tables;
    let limits = tables.accounts.get(account).map(|row| row.rate_limit());
    if let (Some(limits), Some(row)) = (limits, tables.owned_accounts.get_mut(account)) {
        row.takeover = None;
        row.set_limits(limits, now_us);
    }
    owner::process_queue(tick, account);
}
