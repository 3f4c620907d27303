//! Helpers for metrics that all daemons share.

use prometheus::Registry;
use prometheus::core::Collector;

/// Registers a new metric and returns it.
///
/// # Errors
///
/// Fails if the metric is invalid or another one has its name.
pub fn register<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> prometheus::Result<M> {
    let metric = metric?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// Converts a count to the value type of gauges, saturating at its maximum.
pub fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
