//! Rate limits of client accounts.
//!
//! The owner of an account lends shares of its rate and burst to the VMs that receive its calls.
//! `calls` admits calls from this VM's share, `holder` requests shares and applies grants,
//! `owner` lends shares, `division` computes their size, and `takeover` handles a change of
//! owner. In a fleet without owners, `pooled` keeps a copy of every bucket on each VM instead.

mod calls;
mod division;
mod holder;
mod owner;
mod pooled;
mod takeover;

pub(crate) use pooled::{give_back, rescale, spend};

use super::{Sender, Tick};
use crate::config::Coordination;
use crate::ids::{AccountName, CallId};
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
    pub due: Vec<Timer>,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
            && self.calls.is_empty()
            && self.messages.is_empty()
            && self.due.is_empty()
    }
}

/// Applies changed limits, then handles messages, due timers and new calls.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let is_owned = tick.settings.coordination == Coordination::Owners;
    if is_owned {
        takeover::follow_view(tick);
    }
    let work = std::mem::take(&mut tick.work.rates);
    for account in work.accounts {
        if is_owned {
            holder::limits_changed(tick, &account);
            owner::limits_changed(tick, &account);
        } else {
            pooled::limits_changed(tick, &account);
        }
    }
    for (sender, message) in work.messages {
        handle(tick, sender, message);
    }
    for timer in work.due {
        handle_due(tick, timer);
    }
    for call in work.calls {
        calls::request(tick, call);
    }
}

/// Dispatches a message of another VM, or of this one, by its type.
fn handle(tick: &mut Tick<'_>, sender: Sender, message: RatesMessage) {
    match message {
        RatesMessage::Demand(demand) => owner::demanded(tick, sender, &demand),
        RatesMessage::Grant(grant) => holder::granted(tick, &grant),
        RatesMessage::ShareQuery { epoch, accounts } => {
            takeover::queried(tick, &sender, epoch, &accounts);
        }
        RatesMessage::ShareReport { epoch, unlent } => {
            takeover::reported(tick, sender, epoch, &unlent);
        }
    }
}

/// Dispatches a due timer.
fn handle_due(tick: &mut Tick<'_>, timer: Timer) {
    match timer {
        Timer::RateRefill(account) => calls::refilled(tick, &account),
        Timer::RateWait(call) => calls::expire(tick, call),
        Timer::ShareAsk(account) => holder::ask_due(tick, &account),
        Timer::LoanQueue(account) => owner::queue_due(tick, &account),
        Timer::LoanEnd(account, holder, id) => owner::loan_ended(tick, &account, &holder, id),
        Timer::TakeoverEnd(account) => takeover::end(tick, &account),
        Timer::ShareQuery(epoch) => takeover::query(tick, epoch),
        _ => {}
    }
}
