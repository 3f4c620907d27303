//! Orders engines to load and unload models.
//!
//! The service file states which models each engine should have loaded. The
//! owner of a service's orders compares them with the models that the engines
//! report and sends each engine one order at a time. Orders carry fencing
//! tokens. For engines that ignore these, a new owner waits until the longest
//! order of the previous owner must have ended.

mod planning;
mod results;

use super::Tick;
use crate::ids::{FencingToken, ModelName, ServiceName, UpstreamName};
use crate::input::OrderResult;
use crate::tables::Timer;

/// Interval between comparisons of desired and reported models.
const REVIEW_INTERVAL_US: u64 = 1_000_000;

/// Input collected for this system since its last run.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Loaded models and running calls that engines report.
    pub model_reports: Vec<(UpstreamName, Vec<ModelName>, u32)>,
    pub results: Vec<(UpstreamName, FencingToken, OrderResult)>,
    pub due_timers: Vec<Timer>,
    pub config_changed: bool,
}

impl Work {
    pub fn is_empty(&self) -> bool {
        self.model_reports.is_empty()
            && self.results.is_empty()
            && self.due_timers.is_empty()
            && !self.config_changed
    }
}

/// Processes the collected input, changes of ownership first.
pub(crate) fn run(tick: &mut Tick<'_>) {
    let work = std::mem::take(&mut tick.work.orders);
    if work.config_changed || !tick.work.view_changes.is_empty() {
        planning::update_ownership(tick);
    }
    for (upstream, models, running_calls) in work.model_reports {
        results::record_loaded_models(tick, &upstream, models, running_calls);
    }
    for (upstream, token, result) in work.results {
        results::handle_result(tick, &upstream, token, result);
    }
    for timer in work.due_timers {
        if let Timer::OrdersReview(service) = timer {
            review(tick, &service);
        }
    }
}

/// Compares desired and reported models of a service and schedules the next review.
fn review(tick: &mut Tick<'_>, service: &ServiceName) {
    if !tick.tables.orders.contains_key(service) {
        return;
    }
    planning::plan_service(tick, service);
    let due_us = tick.now_us + REVIEW_INTERVAL_US;
    let timer = Timer::OrdersReview(service.clone());
    tick.tables.timers.set(due_us, timer);
}
