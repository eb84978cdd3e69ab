//! Counters and histograms, served as text.

use prometheus::Encoder;
use prometheus::Error;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::AtomicU64;
use prometheus::core::Collector;
use prometheus::core::GenericGauge;

/// Upper bounds of latencies, in seconds; the objectives lie between 0.15 and 2 s.
const LATENCIES: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 1.5, 3.0, 6.0, 14.0,
];

/// All figures of the daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Version of the plan in force.
    pub plan_version: GenericGauge<AtomicU64>,
    /// Requests in progress.
    pub open: GenericGauge<AtomicU64>,
    /// Calls of the store that failed.
    pub store_failures: IntCounter,
    requests: IntCounterVec,
    sends: IntCounterVec,
    retries: IntCounterVec,
    latency: HistogramVec,
}

impl Metrics {
    /// All at zero.
    ///
    /// # Errors
    /// If a name is wrong or taken.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            let gauge = GenericGauge::<AtomicU64>::new(full(name), help)?;
            register(&registry, gauge)
        };
        let vector = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(full(name), help), labels)?;
            register(&registry, vector)
        };
        let latency = HistogramOpts::new(
            full("request_seconds"),
            "Time from a request's head to its answer; for streams, to its first event",
        );
        let latency = HistogramVec::new(latency.buckets(LATENCIES.to_vec()), &["route"])?;
        let failures = IntCounter::new(full("store_failures_total"), "Failed calls of the store")?;
        Ok(Self {
            plan_version: gauge("plan_version", "Version of the plan in force")?,
            open: gauge("open_requests", "Requests in progress")?,
            store_failures: register(&registry, failures)?,
            requests: vector("requests_total", "Requests by outcome", &["outcome"])?,
            sends: vector("sends_total", "Sends to replicas by outcome", &["outcome"])?,
            retries: vector(
                "retries_total",
                "Retries by service and whether the budget had one",
                &["service", "granted"],
            )?,
            latency: register(&registry, latency)?,
            registry,
        })
    }

    /// Counts a request that ended with `outcome`.
    pub fn request(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    /// Counts a send that ended with `outcome`.
    pub fn send(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    /// Counts a retry that was asked of the budget.
    pub fn retries(&self, service: &str, granted: bool) {
        let granted = if granted { "yes" } else { "no" };
        self.retries.with_label_values(&[service, granted]).inc();
    }

    /// Notes the time to an answer.
    pub fn latency(&self, route: &str, seconds: f64) {
        self.latency.with_label_values(&[route]).observe(seconds);
    }

    /// All figures as text.
    ///
    /// # Errors
    /// If a figure cannot be written.
    pub fn text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn full(name: &str) -> String {
    format!("waxwing_gateway_{name}")
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> Result<C, Error> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
