//! Handles model reports of engines and results of orders.

use super::super::{Tick, config};
use crate::ids::{FencingToken, ModelName, UpstreamName};
use crate::input::OrderResult;
use crate::output::Decision;

/// Records the models that an engine reports as loaded; placement uses only these.
pub(super) fn record_loaded_models(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    models: Vec<ModelName>,
    running_calls: u32,
) {
    let Some(row) = tick.tables.upstreams.get_mut(upstream) else {
        return;
    };
    row.idle_reports = if running_calls == 0 {
        row.idle_reports.saturating_add(1)
    } else {
        0
    };
    if row.loaded_models.as_ref() == Some(&models) {
        return;
    }
    row.loaded_models = Some(models);
    config::refresh_pools(tick, upstream);
}

/// Handles the result of an engine's pending order; results of earlier orders are dropped.
pub(super) fn handle_result(
    tick: &mut Tick<'_>,
    upstream: &UpstreamName,
    token: FencingToken,
    result: OrderResult,
) {
    let service = tick
        .tables
        .services
        .iter()
        .find(|(_, service)| service.upstreams.iter().any(|u| u.name == *upstream))
        .map(|(name, _)| name.clone());
    let orders = service.and_then(|service| tick.tables.orders.get_mut(&service));
    let Some(orders) = orders else {
        return;
    };
    if orders
        .open
        .get(upstream)
        .is_none_or(|pending| pending.token != token)
    {
        return;
    }
    match result {
        OrderResult::Done => {
            orders.open.remove(upstream);
        }
        // The order may still take effect, so it stays pending until its maximum time has passed.
        OrderResult::Unknown => {}
        OrderResult::Stale => {
            orders.open.remove(upstream);
            tick.log(Decision::OrderStale {
                upstream: upstream.clone(),
                token,
            });
        }
    }
}
