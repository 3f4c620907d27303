//! Engines of the mesh that take orders to load and unload models.

use std::collections::BTreeMap;

use knapweeddale_core::ids::FencingToken;
use knapweeddale_core::input::OrderResult;
use knapweeddale_core::output::{Order, OrderAction};
use knapweeddale_core::{Input, ModelName, UpstreamName};

use super::{Event, Mesh};

/// What engines have been ordered to do.
#[derive(Debug, Default)]
pub struct OrderDesk {
    /// Models that each engine has loaded; only these engines report them.
    pub loaded: BTreeMap<UpstreamName, Vec<ModelName>>,
    /// Engines that ignore fencing tokens.
    pub unfenced: Vec<UpstreamName>,
    /// How long an order is on its way.
    pub delay_us: u64,
    /// Answers that are lost, of 1,000.
    pub lost_answers_per_mille: u64,
    /// Orders that took effect, with their time.
    pub executed: Vec<(u64, Order)>,
    last: BTreeMap<UpstreamName, FencingToken>,
}

impl OrderDesk {
    /// Carries out an order, unless its token is old.
    fn execute(&mut self, now_us: u64, order: &Order) -> OrderResult {
        let last = self.last.get(&order.upstream).copied().unwrap_or_default();
        if !self.unfenced.contains(&order.upstream) && order.token < last {
            return OrderResult::Stale;
        }
        self.last.insert(order.upstream.clone(), order.token);
        let loaded = self.loaded.entry(order.upstream.clone()).or_default();
        match &order.action {
            OrderAction::Load(model) if !loaded.contains(model) => loaded.push(model.clone()),
            OrderAction::Load(_) => {}
            OrderAction::Unload(model) => loaded.retain(|other| other != model),
        }
        self.executed.push((now_us, order.clone()));
        OrderResult::Done
    }
}

/// # Orders
impl Mesh {
    /// Sends an order on its way, unless the VM may no longer send it.
    pub(super) fn send_order(&mut self, vm: usize, order: Order) {
        if self.local_us(vm) >= order.valid_until_us {
            return;
        }
        let at_us = self.now_us + self.orders.delay_us.max(1_000);
        let incarnation = self.vms[vm].incarnation;
        let order = Box::new(order);
        let event = Event::Order {
            vm,
            incarnation,
            order,
        };
        self.schedule(at_us, event);
    }

    /// Lets an engine carry out an order and answers its sender.
    pub(super) fn arrive_order(
        &mut self,
        vm: usize,
        incarnation: knapweeddale_core::Incarnation,
        order: &Order,
    ) {
        let mut result = self.orders.execute(self.now_us, order);
        if self.random.per_mille(self.orders.lost_answers_per_mille) {
            result = OrderResult::Unknown;
        }
        if self.vms[vm].incarnation == incarnation {
            let input = Input::OrderResult {
                upstream: order.upstream.clone(),
                token: order.token,
                result,
            };
            self.deliver(vm, self.now_us + 1_000, input);
        }
    }

    /// Lets all engines report their models to all VMs.
    pub fn report_models(&mut self) {
        for (upstream, models) in self.orders.loaded.clone() {
            let running_calls = self.engines.running_calls(self.now_us, &upstream);
            for vm in 0..self.vms.len() {
                let input = Input::Loaded {
                    upstream: upstream.clone(),
                    models: models.clone(),
                    running_calls,
                };
                self.deliver(vm, self.now_us, input);
            }
        }
    }

    /// Runs for a time in which the engines report their models every second.
    pub fn run_with_reports_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * 1_000;
        while self.now_us < end_us {
            self.report_models();
            self.run_until((self.now_us + 1_000_000).min(end_us));
        }
    }
}
