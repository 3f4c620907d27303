//! Simulates engines that execute orders to load and unload models.

use std::collections::BTreeMap;

use knapweeddale_core::ids::FencingToken;
use knapweeddale_core::input::OrderResult;
use knapweeddale_core::output::{Order, OrderAction};
use knapweeddale_core::{Input, ModelName, UpstreamName};

use super::{Event, Mesh};

/// The models loaded on engines and the orders that changed them.
#[derive(Debug, Default)]
pub struct ModelOrders {
    /// Models loaded on each engine; only engines with an entry report their models.
    pub loaded: BTreeMap<UpstreamName, Vec<ModelName>>,
    /// Engines that don't check fencing tokens.
    pub unfenced: Vec<UpstreamName>,
    /// Delay of an order on its way to the engine; at least 1 ms.
    pub delay_us: u64,
    /// Responses lost per 1,000 orders.
    pub lost_responses_per_mille: u64,
    /// Executed orders with their virtual times in microseconds.
    pub executed: Vec<(u64, Order)>,
    last_tokens: BTreeMap<UpstreamName, FencingToken>,
}

impl ModelOrders {
    /// Executes an order; one with a stale fencing token is rejected.
    fn execute(&mut self, now_us: u64, order: &Order) -> OrderResult {
        let last = self
            .last_tokens
            .get(&order.upstream)
            .copied()
            .unwrap_or_default();
        if !self.unfenced.contains(&order.upstream) && order.token < last {
            return OrderResult::Stale;
        }
        self.last_tokens.insert(order.upstream.clone(), order.token);
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
    /// Sends an order to its engine, unless its validity has expired on the VM's clock.
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

    /// Executes an order that reached its engine and responds to the VM that sent it.
    pub(super) fn handle_order(
        &mut self,
        vm: usize,
        incarnation: knapweeddale_core::Incarnation,
        order: &Order,
    ) {
        let mut result = self.orders.execute(self.now_us, order);
        if self.random.per_mille(self.orders.lost_responses_per_mille) {
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

    /// Sends the loaded models and running calls of each engine to all VMs.
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

    /// Runs for `ms` milliseconds while the engines report their models every second.
    pub fn run_with_reports_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * 1_000;
        while self.now_us < end_us {
            self.report_models();
            self.run_until((self.now_us + 1_000_000).min(end_us));
        }
    }
}
