//! Names and registration of metrics.

use prometheus::Error;
use prometheus::Registry;
use prometheus::core::Collector;

/// Prefix of the names of all metrics.
const PREFIX: &str = "waxwing_gateway_";

/// The name of a metric with the prefix of all.
pub(super) fn full_name(name: &str) -> String {
    format!("{PREFIX}{name}")
}

/// Registers `metric` and returns it.
pub(super) fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: C,
) -> Result<C, Error> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
