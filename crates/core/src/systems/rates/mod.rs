//! Shares of the rate and burst of client accounts.

use super::{Sender, Tick, admission};
use crate::ids::{AccountName, CallId};
use crate::message::RatesMessage;
use crate::output::{Decision, Execution, RefusalKind};
use crate::tables::{Stage, Timer};

/// What waits for this system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub calls: Vec<CallId>,
    pub messages: Vec<(Sender, RatesMessage)>,
    pub due: Vec<Timer>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty() && self.messages.is_empty() && self.due.is_empty()
    }
}

/// Runs the system.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.rates);
    for timer in work.due {
        match timer {
            Timer::RateRefill(account) => drain(tick, &account),
            Timer::RateWait(call) => expire(tick, call),
            _ => {}
        }
    }
    for call in work.calls {
        request(tick, call);
    }
}

/// Takes one call from the account's bucket or lets the call wait.
fn request(tick: &mut Tick<'_>, id: CallId) {
    let Some(account) = account_of(tick, id) else {
        return;
    };
    let Some(row) = tick.tables.accounts.get_mut(&account) else {
        return;
    };
    row.waiting.push_back(id);
    let due_us = tick.now_us + tick.settings.rate_wait_ms * 1_000;
    tick.tables.timers.set(due_us, Timer::RateWait(id));
    drain(tick, &account);
}

/// Admits waiting calls while the bucket holds calls.
fn drain(tick: &mut Tick<'_>, account: &AccountName) {
    loop {
        let now_us = tick.now_us;
        let Some(row) = tick.tables.accounts.get_mut(account) else {
            return;
        };
        let Some(&id) = row.waiting.front() else {
            return;
        };
        if !is_waiting(tick, id) {
            pop(tick, account);
            continue;
        }
        let Some(row) = tick.tables.accounts.get_mut(account) else {
            return;
        };
        if !row.bucket.take(now_us) {
            if let Some(wait_us) = row.bucket.ready_in_us(now_us) {
                let timer = Timer::RateRefill(account.clone());
                tick.tables.timers.set(now_us + wait_us, timer);
            }
            return;
        }
        pop(tick, account);
        admit(tick, id, account);
    }
}

/// Moves an admitted call on.
fn admit(tick: &mut Tick<'_>, id: CallId, account: &AccountName) {
    let arrived_us = tick.tables.calls.get(&id).map_or(0, |call| call.arrived_us);
    tick.decide(Decision::Admitted {
        call: id,
        account: account.clone(),
        waited_us: tick.now_us.saturating_sub(arrived_us),
    });
    admission::enter(tick, id, Stage::Home);
}

/// Refuses a call that has waited too long.
fn expire(tick: &mut Tick<'_>, id: CallId) {
    if !is_waiting(tick, id) {
        return;
    }
    let retry_after_ms = account_of(tick, id)
        .and_then(|account| tick.tables.accounts.get(&account))
        .and_then(|row| row.bucket.ready_in_us(tick.now_us))
        .map(|wait_us| wait_us.div_ceil(1_000).max(1));
    admission::refuse(
        tick,
        id,
        RefusalKind::OverRate,
        Execution::NotRun,
        retry_after_ms,
    );
}

/// Removes the first waiting call of an account.
fn pop(tick: &mut Tick<'_>, account: &AccountName) {
    if let Some(row) = tick.tables.accounts.get_mut(account) {
        row.waiting.pop_front();
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
