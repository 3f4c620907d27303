//! Rate limits of client accounts.
//!
//! The owner of an account lends shares of its rate and burst to the VMs that receive its calls.
//! `calls` admits calls from this VM's share, `holder` requests shares and applies grants,
//! `owner` lends shares with `grants`, `allocation` computes their size, and `takeover` handles a
//! change of owner. In a fleet without owners, `replicated` keeps a copy of every bucket on each VM
//! instead; `upstreams` does the same for rates that upstreams state.

mod allocation;
mod calls;
mod grants;
mod holder;
mod owner;
mod replicated;
mod takeover;
mod upstreams;

pub(crate) use replicated::{debit_remote_calls, refund_call, rescale_buckets};
pub(crate) use upstreams::{
    expected_rate, expire_statement, is_limited, may_send, record_limit, schedule_ready, set_cold,
    take_upstream_call,
};

use super::{Sender, Tick};
use crate::config::Coordination;
use crate::ids::{AccountName, CallId};
use crate::input::UpstreamStatement;
use crate::message::RatesMessage;
use crate::tables::Timer;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Accounts whose published limits have changed.
    pub accounts: Vec<AccountName>,
    /// New calls that count against their account's rate.
    pub calls: Vec<CallId>,
    pub messages: Vec<(Sender, RatesMessage)>,
    pub due_timers: Vec<Timer>,
    /// What upstreams have stated about their rates.
    pub statements: Vec<UpstreamStatement>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
            && self.calls.is_empty()
            && self.messages.is_empty()
            && self.due_timers.is_empty()
            && self.statements.is_empty()
    }
}

/// Applies changed limits, then handles messages, due timers and new calls.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let is_owned = tick.settings.coordination == Coordination::Owners;
    if is_owned {
        takeover::apply_view_change(tick);
    }
    let work = std::mem::take(&mut tick.work.rates);
    for account in work.accounts {
        if is_owned {
            holder::apply_limits(tick, &account);
            owner::apply_limits(tick, &account);
        } else {
            replicated::apply_limits(tick, &account);
        }
    }
    for statement in work.statements {
        upstreams::record_statement(tick, statement);
    }
    for (sender, message) in work.messages {
        handle_message(tick, sender, message);
    }
    for timer in work.due_timers {
        handle_timer(tick, timer);
    }
    for call in work.calls {
        calls::admit_or_queue(tick, call);
    }
}

/// Dispatches a message of another VM, or of this one, by its type.
fn handle_message(tick: &mut Tick<'_>, sender: Sender, message: RatesMessage) {
    match message {
        RatesMessage::Demand(demand) => owner::handle_demand(tick, sender, &demand),
        RatesMessage::Grant(grant) => holder::handle_grant(tick, &grant),
        RatesMessage::ShareQuery { epoch, accounts } => {
            takeover::handle_query(tick, &sender, epoch, &accounts);
        }
        RatesMessage::ShareReport { epoch, unlent } => {
            takeover::handle_report(tick, sender, epoch, &unlent);
        }
    }
}

/// Dispatches a due timer.
fn handle_timer(tick: &mut Tick<'_>, timer: Timer) {
    match timer {
        Timer::RateRefill(account) => calls::handle_refill_due(tick, &account),
        Timer::RateWait(call) => calls::handle_wait_timeout(tick, call),
        Timer::ShareDemand(account) => holder::renew_or_release(tick, &account),
        Timer::LoanQueue(account) => owner::process_queue(tick, &account),
        Timer::LoanEnd(account, holder, id) => owner::handle_loan_end(tick, &account, &holder, id),
        Timer::TakeoverEnd(account) => takeover::end_takeover(tick, &account),
        Timer::ShareQuery(epoch) => takeover::send_queries(tick, epoch),
        _ => {}
    }
}
