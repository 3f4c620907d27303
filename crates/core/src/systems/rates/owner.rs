//! The owner of an account: lends shares and handles the demands of holders.

use super::super::{Sender, Tick};
use super::grants::{HolderList, answer_ask, issue_grant, recall_spare, serve_queue};
use super::{allocation, takeover};
use crate::config::CoreSettings;
use crate::ids::{AccountName, Epoch};
use crate::message::{Demand, DemandKind, Grant, RatesMessage, ShareId};
use crate::tables::{Holder, Loan, OwnedAccount, Timer};

/// Pause before an expiry that waits for a confirmed lease is checked again.
pub(super) const LEASE_RETRY_US: u64 = 100_000;

/// Returns whether this VM may act as owner in an epoch: its lease is valid and the view current.
pub(super) fn may_act(tick: &Tick<'_>, epoch: Epoch) -> bool {
    tick.tables.lease.is_valid(tick.now_us) && tick.tables.view.epoch == epoch
}

/// Returns whether the view was confirmed to be in force at a time or later.
///
/// A share that expires may only be lent again then: otherwise a newer owner could have adopted
/// and renewed it before it expired.
pub(super) fn is_confirmed_since(tick: &Tick<'_>, at_us: u64) -> bool {
    let confirmed_us = tick.tables.lease.confirmed_us;
    confirmed_us.is_some_and(|confirmed_us| confirmed_us >= at_us)
}

/// Handles a holder's demand: updates its loan and sends the grants that result.
pub(super) fn handle_demand(tick: &mut Tick<'_>, sender: Sender, demand: &Demand) {
    if !may_act(tick, demand.epoch) {
        return;
    }
    let holder = Holder {
        vm: sender.vm,
        incarnation: sender.incarnation,
    };
    let Some(row) = tick.tables.owned_accounts.get(&demand.account) else {
        return;
    };
    match classify_demand(row, &holder, demand) {
        DemandStatus::Stale => return,
        DemandStatus::Duplicate => {
            if demand.kind == DemandKind::Ask {
                send_grants(tick, &demand.account, [holder]);
            }
            return;
        }
        DemandStatus::Update => {}
        DemandStatus::LentByOther => takeover::adopt_share(tick, &holder, demand),
        DemandStatus::NoLoan => open_loan(tick, &holder, demand),
    }
    let now_us = tick.now_us;
    let Some(row) = tick.tables.owned_accounts.get_mut(&demand.account) else {
        return;
    };
    let returned_ncalls = apply_report(row, &holder, demand, now_us);
    if demand.kind == DemandKind::Release {
        row.remove(&holder, now_us);
    }
    row.deposit(returned_ncalls);
    let mut recipients = HolderList::new();
    match demand.kind {
        DemandKind::Ask => answer_ask(row, &holder, now_us, &mut recipients),
        DemandKind::Confirm => {
            recall_spare(row, &holder, now_us, &mut recipients);
        }
        DemandKind::Release => {}
    }
    serve_queue(row, now_us, &mut recipients);
    send_grants(tick, &demand.account, recipients);
    schedule_queue(tick, &demand.account);
}

/// How a demand relates to the loan of its holder.
enum DemandStatus {
    /// The demand is older than the last one, or reports an unknown share.
    Stale,
    /// The demand is a duplicate of the last one.
    Duplicate,
    /// The demand is newer and concerns the current loan.
    Update,
    /// The demand reports a share that a previous owner lent.
    LentByOther,
    /// The holder has no share and asks for one.
    NoLoan,
}

/// Compares a demand with the loan of its holder and the state of a takeover.
fn classify_demand(row: &OwnedAccount, holder: &Holder, demand: &Demand) -> DemandStatus {
    let loan = row.loans.get(holder);
    if let Some(loan) = loan {
        if demand.seq == loan.demand_seq {
            return DemandStatus::Duplicate;
        }
        if demand.seq < loan.demand_seq {
            return DemandStatus::Stale;
        }
        let is_same_share = match &demand.held {
            Some(held) => held.id == loan.id,
            // The holder may still apply a grant that is in flight.
            None => demand.floor_seq <= loan.opened_seq,
        };
        if is_same_share {
            return DemandStatus::Update;
        }
    }
    match &demand.held {
        Some(held) => {
            let takeover = row.takeover.as_ref();
            if takeover.is_some_and(|takeover| !takeover.adopted.contains(&held.id)) {
                DemandStatus::LentByOther
            } else {
                DemandStatus::Stale
            }
        }
        None if demand.kind == DemandKind::Ask => DemandStatus::NoLoan,
        None => DemandStatus::Stale,
    }
}

/// Opens a loan with nothing lent yet.
fn open_loan(tick: &mut Tick<'_>, holder: &Holder, demand: &Demand) {
    let ownership = &mut tick.tables.ownership;
    ownership.opened_shares += 1;
    let id = ShareId {
        owner: tick.settings.incarnation,
        number: ownership.opened_shares,
    };
    let loan = Loan::new(id, demand.seq);
    insert_loan(tick, &demand.account, holder, loan);
}

/// Inserts a loan and schedules its expiry.
pub(super) fn insert_loan(tick: &mut Tick<'_>, account: &AccountName, holder: &Holder, loan: Loan) {
    let id = loan.id;
    if let Some(row) = tick.tables.owned_accounts.get_mut(account) {
        row.insert(holder, loan, tick.now_us);
    }
    let due_us = tick.now_us + CoreSettings::with_clock_margin_us(tick.settings.grant_ms);
    let timer = Timer::LoanEnd(account.clone(), holder.clone(), id);
    tick.tables.timers.set(due_us, timer);
}

/// Updates a loan with what a demand reports and confirms; returns the calls that came back.
fn apply_report(row: &mut OwnedAccount, holder: &Holder, demand: &Demand, now_us: u64) -> u64 {
    let weight = allocation::holder_weight(demand, row.limits.rate_mcalls_per_s);
    let mut returned_ncalls = 0;
    row.update(holder, now_us, |loan| {
        loan.demand_seq = demand.seq;
        loan.demand_sent_us = demand.sent_us;
        loan.demand_arrived_us = now_us;
        loan.weight = weight;
        loan.wanted_mcalls_per_s = demand.wanted_mcalls_per_s;
        loan.waiting_calls = demand.waiting_calls;
        loan.level_ncalls = demand.level_ncalls;
        loan.reported_us = now_us;
        let Some(held) = &demand.held else {
            return;
        };
        returned_ncalls = held.returned_ncalls.saturating_sub(loan.returned_ncalls);
        loan.returned_ncalls += returned_ncalls;
        loan.received_ncalls = held.received_ncalls.min(loan.moved_ncalls);
        loan.confirm(held.applied_seq);
    });
    returned_ncalls
}

/// Sends holders the current grants of their loans.
pub(super) fn send_grants(
    tick: &mut Tick<'_>,
    account: &AccountName,
    holders: impl IntoIterator<Item = Holder>,
) {
    let valid_ms = tick.settings.grant_ms;
    let validity_us = CoreSettings::with_clock_margin_us(valid_ms);
    for holder in holders {
        let epoch = tick.tables.view.epoch;
        let Some(row) = tick.tables.owned_accounts.get_mut(account) else {
            return;
        };
        let is_taking_over = row.takeover.is_some();
        let Some(loan) = row.loans.get_mut(&holder) else {
            continue;
        };
        loan.expires_us = loan.demand_arrived_us + validity_us;
        let grant = Grant {
            account: account.clone(),
            epoch,
            holder: holder.incarnation,
            answers_seq: loan.demand_seq,
            sent_us: loan.demand_sent_us,
            valid_ms,
            id: loan.id,
            seq: loan.grant_seq,
            rate_mcalls_per_s: loan.granted.rate_mcalls_per_s,
            burst_ncalls: loan.granted.burst_ncalls,
            moved_ncalls: loan.moved_ncalls,
            recalled_ncalls: loan.recalled_ncalls,
            is_taking_over,
        };
        tick.send(&holder.vm, RatesMessage::Grant(Box::new(grant)));
    }
}

/// Schedules the time at which the reserve holds a call for the queue.
fn schedule_queue(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let Some(row) = tick.tables.owned_accounts.get_mut(account) else {
        return;
    };
    if row.queue.is_empty() || row.queue_due_us != 0 {
        return;
    }
    if let Some(wait_us) = row.reserve.ready_in_us(now_us) {
        row.queue_due_us = now_us + wait_us.max(1);
        let due_us = row.queue_due_us;
        let timer = Timer::LoanQueue(account.clone());
        tick.tables.timers.set(due_us, timer);
    }
}

/// Refills the reserve and serves the queue from it.
pub(super) fn process_queue(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let epoch = tick.tables.view.epoch;
    let may_act = may_act(tick, epoch);
    let Some(row) = tick.tables.owned_accounts.get_mut(account) else {
        return;
    };
    row.queue_due_us = 0;
    if !may_act {
        return;
    }
    row.reserve.refill(now_us);
    let mut recipients = HolderList::new();
    serve_queue(row, now_us, &mut recipients);
    send_grants(tick, account, recipients);
    schedule_queue(tick, account);
}

/// Removes a loan once its last grant has expired, or checks again later.
pub(super) fn handle_loan_end(
    tick: &mut Tick<'_>,
    account: &AccountName,
    holder: &Holder,
    id: ShareId,
) {
    let now_us = tick.now_us;
    let row = tick.tables.owned_accounts.get(account);
    let loan = row.and_then(|row| row.loans.get(holder));
    let Some(loan) = loan.filter(|loan| loan.id == id) else {
        return;
    };
    let expires_us = loan.expires_us;
    if now_us < expires_us || !is_confirmed_since(tick, expires_us) {
        let due_us = expires_us.max(now_us + LEASE_RETRY_US);
        let timer = Timer::LoanEnd(account.clone(), holder.clone(), id);
        tick.tables.timers.set(due_us, timer);
        return;
    }
    if let Some(row) = tick.tables.owned_accounts.get_mut(account) {
        row.remove(holder, now_us);
    }
    process_queue(tick, account);
}

/// Applies the published limits of an account that this VM owns and issues new grants.
pub(super) fn apply_limits(tick: &mut Tick<'_>, account: &AccountName) {
    let now_us = tick.now_us;
    let epoch = tick.tables.view.epoch;
    if !takeover::ensure_row(tick, account) {
        return;
    }
    let may_act = may_act(tick, epoch);
    let tables = &mut *tick.tables;
    let limits = tables.accounts.get(account).map(|row| row.rate_limit());
    let (Some(limits), Some(row)) = (limits, tables.owned_accounts.get_mut(account)) else {
        return;
    };
    let limits = match &row.takeover {
        Some(takeover) => takeover.known_limits.lower(limits),
        None => limits,
    };
    if limits == row.limits {
        return;
    }
    row.set_limits(limits, now_us);
    if !may_act {
        return;
    }
    let holders: Vec<_> = row.loans.iter().map(|(holder, _)| holder.clone()).collect();
    for holder in &holders {
        issue_grant(row, holder, 0, now_us);
    }
    send_grants(tick, account, holders);
}
