//! Systems that run over the tables each tick.
//!
//! Each system has a module with its work list and a function `run`. The
//! order is that of [`run_pass`].

pub(crate) mod admission;
pub(crate) mod budgets;
pub(crate) mod charges;
pub(crate) mod config;
pub(crate) mod confinement;
pub(crate) mod homes;
pub(crate) mod intake;
pub(crate) mod links;
pub(crate) mod membership;
pub(crate) mod orders;
pub(crate) mod outcomes;
pub(crate) mod pacing;
pub(crate) mod peers;
pub(crate) mod placement;
pub(crate) mod rates;
pub(crate) mod source;
pub(crate) mod timers;

use crate::config::CoreSettings;
use crate::ids::{Incarnation, VmName};
use crate::message::PeerMessage;
use crate::output::{Decision, Output};
use crate::tables::{Tables, ViewChange};

/// Context that the systems share during one tick.
#[derive(Debug)]
pub(crate) struct Tick<'a> {
    /// Time of the tick on this VM's clock.
    pub now_us: u64,
    pub settings: &'a CoreSettings,
    pub tables: &'a mut Tables,
    pub work: &'a mut Work,
    pub outputs: &'a mut Vec<Output>,
}

/// The sender of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sender {
    pub vm: VmName,
    pub incarnation: Incarnation,
}

/// Input that is waiting for each system.
#[derive(Debug, Default)]
pub(crate) struct Work {
    pub membership: membership::Work,
    pub peers: peers::Work,
    pub source: source::Work,
    pub config: config::Work,
    pub links: links::Work,
    pub outcomes: outcomes::Work,
    pub homes: homes::Work,
    pub rates: rates::Work,
    pub pacing: pacing::Work,
    pub budgets: budgets::Work,
    pub admission: admission::Work,
    pub placement: placement::Work,
    pub orders: orders::Work,
    pub charges: charges::Work,
    /// Views that came into force in this pass, readable by every system.
    ///
    /// Cleared at the end of the pass, after all systems have run.
    pub view_changes: Vec<ViewChange>,
}

impl Work {
    /// Returns whether no system has anything to do.
    pub fn is_empty(&self) -> bool {
        self.membership.is_empty()
            && self.peers.is_empty()
            && self.source.is_empty()
            && self.budgets.is_empty()
            && self.config.is_empty()
            && self.links.is_empty()
            && self.outcomes.is_empty()
            && self.homes.is_empty()
            && self.rates.is_empty()
            && self.pacing.is_empty()
            && self.admission.is_empty()
            && self.placement.is_empty()
            && self.orders.is_empty()
            && self.charges.is_empty()
    }
}

impl Tick<'_> {
    /// Sends a message; one to this VM is handled in the same tick.
    pub fn send(&mut self, to: &VmName, message: impl Into<PeerMessage>) {
        let message = message.into();
        if *to == self.settings.vm {
            let sender = Sender {
                vm: self.settings.vm.clone(),
                incarnation: self.settings.incarnation,
            };
            intake::route_message(self.work, sender, message);
            return;
        }
        self.outputs.push(Output::Send {
            to: to.clone(),
            message,
        });
    }

    /// Outputs a decision for the log.
    pub fn log(&mut self, decision: impl Into<Decision>) {
        self.outputs.push(Output::Decision(decision.into()));
    }
}

/// Runs every system once, in a fixed order.
pub(crate) fn run_pass(tick: &mut Tick<'_>) {
    membership::run(tick);
    peers::run(tick);
    source::run(tick);
    config::run(tick);
    links::run(tick);
    outcomes::run(tick);
    homes::run(tick);
    rates::run(tick);
    pacing::run(tick);
    budgets::run(tick);
    admission::run(tick);
    placement::run(tick);
    orders::run(tick);
    charges::run(tick);
    tick.work.view_changes.clear();
}
