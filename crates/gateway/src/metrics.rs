//! Metrics of the daemon, exported in the Prometheus text format.

pub mod flood;
pub mod load;
pub mod memory;
pub mod quota;
mod registration;

use std::sync::Arc;

use logs::queue::LineCounters;
use prometheus::Encoder;
use prometheus::Error;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::AtomicU64;
use prometheus::core::GenericGauge;

use crate::metrics::flood::FloodMetrics;
use crate::metrics::load::LoadMetrics;
use crate::metrics::memory::MemoryMetrics;
use crate::metrics::quota::QuotaMetrics;
use crate::metrics::registration::full_name;
use crate::metrics::registration::register;

/// Upper bounds of the latency buckets, in seconds; the objectives lie between 0.15 and 2 s.
const LATENCIES: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 1.5, 3.0, 6.0, 14.0,
];

/// All metrics of the daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Version of the plan in force.
    pub plan_version: GenericGauge<AtomicU64>,
    /// Requests in progress.
    pub open: GenericGauge<AtomicU64>,
    /// Evacuated data centres; 1 for each.
    evacuated: GaugeVec,
    /// Requests and parts of prompts under which so many replicas ended that they are quarantined.
    pub quarantined: GenericGauge<AtomicU64>,
    /// Answers of replicas that belonged, or may have belonged, to another request.
    pub foreign_answers: IntCounter,
    /// Calls of the store that failed.
    pub store_failures: IntCounter,
    /// Calls of the store, by step and table.
    pub store_calls: IntCounterVec,
    /// Reachable members, including this daemon.
    pub members: GenericGauge<AtomicU64>,
    /// Store version of the list of replicas.
    pub replicas_version: GenericGauge<AtomicU64>,
    /// Latest era of the store.
    pub store_era: GenericGauge<AtomicU64>,
    /// Services to whose replicas this daemon cannot connect.
    pub unreachable_services: GenericGauge<AtomicU64>,
    /// Replicas whose pace is known.
    pub replica_paces: GenericGauge<AtomicU64>,
    /// Seconds since the replicas were last known to be up to date.
    pub replicas_age: Gauge,
    /// Retries left in the budget, by service.
    budget: GaugeVec,
    /// Log lines dropped because the queue was full.
    dropped_lines: GenericGauge<AtomicU64>,
    lines: Arc<LineCounters>,
    event_gaps: Histogram,
    place_waits: Histogram,
    requests: IntCounterVec,
    withheld: IntCounterVec,
    /// What is refused under load.
    pub load: LoadMetrics,
    /// Memory that requests and answers hold.
    pub memory: MemoryMetrics,
    sends: IntCounterVec,
    notices: IntCounterVec,
    /// Connections that bring too many bytes.
    pub floods: FloodMetrics,
    handoffs: IntCounterVec,
    resumptions: IntCounterVec,
    retries: IntCounterVec,
    customers: IntCounterVec,
    /// Customers' quotas.
    pub quota: QuotaMetrics,
    moves: IntCounterVec,
    pace_reports: IntCounterVec,
    latency: HistogramVec,
}

impl Metrics {
    /// Creates and registers all metrics; `lines` counts log lines.
    ///
    /// # Errors
    /// If a name is invalid or already registered.
    pub fn new(lines: Arc<LineCounters>) -> Result<Self, Error> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            let gauge = GenericGauge::<AtomicU64>::new(full_name(name), help)?;
            register(&registry, gauge)
        };
        let counter =
            |name: &str, help: &str| register(&registry, IntCounter::new(full_name(name), help)?);
        let vector = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(full_name(name), help), labels)?;
            register(&registry, vector)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(full_name(name), help).buckets(LATENCIES.to_vec());
            register(&registry, Histogram::with_opts(options)?)
        };
        let age = full_name("replicas_age_seconds");
        let age = Gauge::new(age, "Age of the list of replicas")?;
        let budget = Opts::new(full_name("retries_left"), "Retries left in the budget");
        let evacuated = Opts::new(full_name("evacuated"), "Evacuated data centres; 1 for each");
        Ok(Self {
            foreign_answers: counter(
                "foreign_answers_total",
                "Answers of replicas that belonged, or may have belonged, to another request",
            )?,
            plan_version: gauge("plan_version", "Version of the plan in force")?,
            evacuated: register(&registry, GaugeVec::new(evacuated, &["data_centre"])?)?,
            open: gauge("open_requests", "Requests in progress")?,
            quarantined: gauge("quarantined", "Quarantined requests and parts of prompts")?,
            withheld: vector(
                "withheld_total",
                "Requests refused because they, or a part of their prompt, are quarantined",
                &["content"],
            )?,
            load: LoadMetrics::new(&registry)?,
            memory: MemoryMetrics::new(&registry)?,
            store_calls: vector(
                "store_calls_total",
                "Calls of the store by step and table",
                &["step", "table"],
            )?,
            store_failures: counter("store_failures_total", "Failed calls of the store")?,
            members: gauge("members", "Reachable members")?,
            replicas_version: gauge("replicas_version", "Store version of the replicas")?,
            store_era: gauge(
                "store_era",
                "Latest known era of the store; 0 if it has none",
            )?,
            unreachable_services: gauge(
                "unreachable_services",
                "Services to whose replicas this daemon cannot connect",
            )?,
            replica_paces: gauge("replica_paces", "Replicas whose pace is known")?,
            replicas_age: register(&registry, age)?,
            budget: register(&registry, GaugeVec::new(budget, &["service"])?)?,
            dropped_lines: gauge("log_lines_dropped", "Log lines dropped since the start")?,
            lines,
            event_gaps: histogram("event_gap_seconds", "Time between two events of a stream")?,
            place_waits: histogram("place_wait_seconds", "Wait for a decode replica")?,
            requests: vector("requests_total", "Requests by outcome", &["outcome"])?,
            sends: vector("sends_total", "Sends to replicas by outcome", &["outcome"])?,
            notices: vector(
                "notices_total",
                "Answers in which a replica says that it is draining or asks for a pause",
                &["notice"],
            )?,
            floods: FloodMetrics::new(&registry)?,
            handoffs: vector(
                "handoffs_total",
                "Requests handed to peers by outcome, and those served for peers",
                &["outcome"],
            )?,
            resumptions: vector(
                "resumptions_total",
                "Resumed streams by how the software version that began them was found out",
                &["source"],
            )?,
            retries: vector(
                "retries_total",
                "Retries by service and whether the budget granted them",
                &["service", "granted"],
            )?,
            customers: vector(
                "customer_requests_total",
                "Requests by customer and outcome; customers with small quotas count as others",
                &["customer", "outcome"],
            )?,
            quota: QuotaMetrics::new(&registry)?,
            moves: vector("moves_total", "Migrations of runs by outcome", &["outcome"])?,
            pace_reports: vector(
                "pace_reports_total",
                "Paces of replicas announced to other daemons, and received from them",
                &["direction"],
            )?,
            latency: register(&registry, latency_by_route()?)?,
            registry,
        })
    }

    /// Sets the evacuated data centres.
    pub fn evacuated<'a>(&self, names: impl Iterator<Item = &'a str>) {
        self.evacuated.reset();
        for name in names {
            self.evacuated.with_label_values(&[name]).set(1.0);
        }
    }

    /// Counts a request that ended with `outcome`.
    pub fn request(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    /// Counts a request of `customer` that ended with `outcome`.
    pub fn customer(&self, customer: &str, outcome: &str) {
        self.customers.with_label_values(&[customer, outcome]).inc();
    }

    /// Counts a send that ended with `outcome`.
    pub fn send(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    /// Counts an answer with a notice of the replica on its availability.
    pub fn notice(&self, notice: &str) {
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Counts a refused request of which `content`, `request` or `part`, is quarantined.
    pub fn withheld(&self, content: &str) {
        self.withheld.with_label_values(&[content]).inc();
    }

    /// Counts a request that was handed to a peer, or served for one, with `outcome`.
    pub fn handoff(&self, outcome: &str) {
        self.handoffs.with_label_values(&[outcome]).inc();
    }

    /// Counts a resumed stream whose software version was looked up, by how it was found out.
    pub fn resumption(&self, source: &str) {
        self.resumptions.with_label_values(&[source]).inc();
    }

    /// Counts a retry requested from the budget.
    pub fn retries(&self, service: &str, granted: bool) {
        let granted = if granted { "yes" } else { "no" };
        self.retries.with_label_values(&[service, granted]).inc();
    }

    /// Counts a migration of a run that ended with `outcome`.
    pub fn moved(&self, outcome: &str) {
        self.moves.with_label_values(&[outcome]).inc();
    }

    /// Counts announced paces that were `sent` or `received`.
    pub fn pace_reports(&self, direction: &str, count: usize) {
        let counter = self.pace_reports.with_label_values(&[direction]);
        counter.inc_by(count as u64);
    }

    /// Records the time to an answer.
    pub fn latency(&self, route: &str, seconds: f64) {
        self.latency.with_label_values(&[route]).observe(seconds);
    }

    /// Records the time between two events of a stream.
    pub fn event_gap(&self, seconds: f64) {
        self.event_gaps.observe(seconds);
    }

    /// Records how long a request waited for a decode replica.
    pub fn place_wait(&self, seconds: f64) {
        self.place_waits.observe(seconds);
    }

    /// Sets the retries left in the budget of `service`.
    pub fn retries_left(&self, service: &str, left: f64) {
        self.budget.with_label_values(&[service]).set(left);
    }

    /// All metrics in the text format.
    ///
    /// # Errors
    /// If a metric cannot be encoded.
    pub fn text(&self) -> Result<Vec<u8>, Error> {
        self.dropped_lines.set(self.lines.dropped());
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn latency_by_route() -> Result<HistogramVec, Error> {
    let options = HistogramOpts::new(
        full_name("request_seconds"),
        "Time from the head of a request to its answer; for streams, to the first event",
    );
    HistogramVec::new(options.buckets(LATENCIES.to_vec()), &["route"])
}
