//! Tracks ownership of orders and plans the next order of each engine.

use super::super::Tick;
use crate::config::ServiceKind;
use crate::ids::{FencingToken, ModelName, ServiceName, UpstreamName};
use crate::output::{Decision, Order, OrderAction, Output};
use crate::tables::{Bucket, NCALLS_PER_CALL, PendingOrder, ServiceOrders, Timer};

/// Consecutive idle reports after which a model may be unloaded.
///
/// Reports lag, so a call that was just placed may be missing from one.
const MIN_IDLE_REPORTS: u32 = 3;

/// Takes over and gives up the orders of services after a change of the view or configuration.
pub(super) fn update_ownership(tick: &mut Tick<'_>) {
    let own_vm = &tick.settings.vm;
    let tables = &mut *tick.tables;
    let mut gained = Vec::new();
    for (name, service) in tables.services.iter() {
        let is_engine = matches!(service.kind, ServiceKind::Engine(_));
        if !is_engine || tables.view.orders_owner(name) != Some(own_vm) {
            tables.orders.remove(name);
        } else if !tables.orders.contains_key(name) {
            gained.push((name.clone(), service.weight_loads_per_min));
        }
    }
    let services = &tables.services;
    tables.orders.retain(|name, _| services.contains_key(name));
    for (name, loads_per_min) in gained {
        let rate_mcalls_per_s = u64::from(loads_per_min) * 1_000 / 60;
        let orders = ServiceOrders {
            loads: Bucket::full(rate_mcalls_per_s, NCALLS_PER_CALL, tick.now_us),
            ..ServiceOrders::default()
        };
        tables.orders.insert(name.clone(), orders);
        tables.timers.set(tick.now_us, Timer::OrdersReview(name));
    }
}

/// Sends orders to the engines of a service whose models differ from the desired ones.
pub(super) fn plan_service(tick: &mut Tick<'_>, service: &ServiceName) {
    let Some(ready_us) = ready_us(tick, service) else {
        return;
    };
    let Some(config) = tick.tables.services.get(service) else {
        return;
    };
    let order_us = tick.settings.order_ms * 1_000;
    let upstreams: Vec<(UpstreamName, bool)> = config
        .upstreams
        .iter()
        .map(|upstream| (upstream.name.clone(), upstream.checks_fencing))
        .collect();
    for (upstream, checks_fencing) in upstreams {
        // An order of the previous owner may still arrive at an engine that ignores tokens.
        let wait_us = if checks_fencing { 0 } else { order_us };
        if tick.now_us >= ready_us + wait_us {
            plan_upstream(tick, service, &upstream);
        }
    }
}

/// Returns the time from which this VM may send orders, `None` if it has no valid lease.
fn ready_us(tick: &Tick<'_>, service: &ServiceName) -> Option<u64> {
    if !tick.tables.lease.is_valid(tick.now_us) {
        return None;
    }
    let owner = |view| orders_owner(view, service);
    tick.tables.may_act_from_us(tick.settings, owner)
}

/// Returns the owner of a service's orders in a view.
fn orders_owner<'a>(
    view: &'a crate::tables::View,
    service: &ServiceName,
) -> Option<&'a crate::ids::VmName> {
    view.orders_owner(service)
}

/// Sends an order to one engine if it needs one and none is pending.
fn plan_upstream(tick: &mut Tick<'_>, service: &ServiceName, upstream: &UpstreamName) {
    let (now_us, order_us) = (tick.now_us, tick.settings.order_ms * 1_000);
    let tables = &*tick.tables;
    let Some(orders) = tables.orders.get(service) else {
        return;
    };
    let is_pending = orders
        .open
        .get(upstream)
        .is_some_and(|pending| now_us < pending.sent_us + order_us);
    if is_pending {
        return;
    }
    let Some(action) = next_action(tick, upstream) else {
        return;
    };
    let epoch = tables.view.epoch;
    let Some(orders) = tick.tables.orders.get_mut(service) else {
        return;
    };
    // The weight store is rate-limited, so loads are spread over time.
    if matches!(action, OrderAction::Load(_)) && !orders.loads.try_take(now_us) {
        return;
    }
    orders.seq += 1;
    let token = FencingToken {
        epoch,
        seq: orders.seq,
    };
    let pending = PendingOrder {
        token,
        action: action.clone(),
        sent_us: now_us,
    };
    orders.open.insert(upstream.clone(), pending);
    send_order(tick, upstream, token, action);
}

/// Returns the next action for an engine, `None` if none is needed or it reports no models.
fn next_action(tick: &Tick<'_>, upstream: &UpstreamName) -> Option<OrderAction> {
    let row = tick.tables.upstreams.get(upstream)?;
    let loaded = row.loaded_models.as_ref()?;
    let desired = &row.config.models;
    let is_missing = |model: &&ModelName| !loaded.contains(model);
    if let Some(model) = desired.iter().find(is_missing) {
        return Some(OrderAction::Load(model.clone()));
    }
    // Calls in progress may still use the model.
    let is_idle = row.running_calls() == 0 && row.idle_reports >= MIN_IDLE_REPORTS;
    let extra = loaded.iter().find(|model| !desired.contains(model));
    extra.filter(|_| is_idle).cloned().map(OrderAction::Unload)
}

/// Emits an order to an engine and logs it.
fn send_order(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    token: FencingToken,
    action: OrderAction,
) {
    let Some(row) = tick.tables.upstreams.get(upstream) else {
        return;
    };
    let order = Order {
        upstream: upstream.clone(),
        address: row.address.clone(),
        token,
        valid_until_us: tick.tables.lease.until_us,
        action: action.clone(),
    };
    tick.outputs.push(Output::Order(Box::new(order)));
    tick.log(Decision::Ordered {
        upstream: upstream.clone(),
        token,
        action,
    });
}
