//! Registers metrics under names with the common prefix.

use prometheus::Error;
use prometheus::Gauge;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::core::AtomicU64;
use prometheus::core::Collector;
use prometheus::core::GenericGauge;

/// A gauge of non-negative integers.
pub(super) type IntGauge = GenericGauge<AtomicU64>;

fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> Result<C, Error> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn full(name: &str) -> String {
    format!("waxwing_{name}")
}

/// Registers a counter.
pub(super) fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, Error> {
    register(registry, IntCounter::new(full(name), help)?)
}

/// Registers a gauge of non-negative integers.
pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, Error> {
    register(registry, IntGauge::new(full(name), help)?)
}

/// Registers a gauge of seconds.
pub(super) fn seconds(registry: &Registry, name: &str, help: &str) -> Result<Gauge, Error> {
    register(registry, Gauge::new(full(name), help)?)
}

/// Registers counters with `labels`.
pub(super) fn vector(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, Error> {
    register(
        registry,
        IntCounterVec::new(Opts::new(full(name), help), labels)?,
    )
}

/// Registers a histogram with `buckets`.
pub(super) fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Result<Histogram, Error> {
    let options = HistogramOpts::new(full(name), help).buckets(buckets.to_vec());
    register(registry, Histogram::with_opts(options)?)
}
