//! Metrics in the Prometheus text format.

mod register;

use std::time::Duration;

use call::bound::Bound;
use launch::error::Error;
use node::action::Count;
use node::status::Status;
use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::metrics::register::IntGauge;
use crate::metrics::register::counter;
use crate::metrics::register::gauge;
use crate::metrics::register::histogram;
use crate::metrics::register::seconds;
use crate::metrics::register::vector;

const FIRST_TOKEN_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0, 60.0,
];
const TOKEN_GAP_BUCKETS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.08, 0.15, 0.4, 1.0];

const TARGETS: [&str; 2] = ["first_token", "token_gap"];
const FRAME_STEPS: [&str; 5] = [
    "handshake",
    "proof",
    "frame_length",
    "frame_version",
    "frame_body",
];

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    first_token: Histogram,
    token_gap: Histogram,
    within_target: IntCounterVec,
    good: IntCounter,
    prefill_tokens: IntCounterVec,
    swept: IntCounter,
    retries: IntCounter,
    orders: IntCounterVec,
    faults: IntCounter,
    given_up: IntCounterVec,
    frames_rejected: IntCounterVec,
    frames_dropped: IntCounter,
    frames_sent: IntCounter,
    open: IntGauge,
    holds: IntGauge,
    keys: IntGauge,
    generation: IntGauge,
    fresh: IntGauge,
    store_age: Gauge,
    leaving: IntGauge,
    members: IntGauge,
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Errors
    /// `Start` if a name is registered twice.
    pub fn new() -> Result<Self, Error> {
        let metrics = build().map_err(|error| Error::Start {
            step: "metrics",
            cause: error.to_string(),
        })?;
        metrics.initialize_labels();
        Ok(metrics)
    }

    /// Counts an event reported by the core.
    pub fn count(&self, count: Count) {
        match count {
            Count::FirstToken { micros, target } => {
                self.first_token
                    .observe(Duration::from_micros(micros).as_secs_f64());
                self.count_target("first_token", micros <= target);
            }
            Count::TokenGap { micros, target } => {
                self.token_gap
                    .observe(Duration::from_micros(micros).as_secs_f64());
                self.count_target("token_gap", micros <= target);
            }
            Count::Good => self.good.inc(),
            Count::Answered => self.requests.with_label_values(&["answered"]).inc(),
            Count::Refused(outcome) => {
                self.requests.with_label_values(&[outcome.as_str()]).inc();
            }
            Count::Prefilled(tokens) => {
                self.prefill_tokens
                    .with_label_values(&["computed"])
                    .inc_by(u64::from(tokens));
            }
            Count::Wasted(tokens) => {
                self.prefill_tokens
                    .with_label_values(&["wasted"])
                    .inc_by(u64::from(tokens));
            }
            Count::Swept => self.swept.inc(),
            Count::Retried => self.retries.inc(),
        }
    }

    /// Counts an ended order.
    pub fn record_order(&self, kind: &str, result: &str) {
        self.orders.with_label_values(&[kind, result]).inc();
    }

    /// Counts a fault of the core.
    pub fn fault(&self) {
        self.faults.inc();
    }

    /// Counts a peer connection that was closed because of invalid input.
    pub fn frame_rejected(&self, step: &str) {
        self.frames_rejected.with_label_values(&[step]).inc();
    }

    /// Counts frames that were dropped before they were sent.
    pub fn frames_dropped(&self, count: usize) {
        self.frames_dropped.inc_by(count as u64);
    }

    /// Counts a frame that was sent.
    pub fn frame_sent(&self) {
        self.frames_sent.inc();
    }

    /// Encodes the metrics as text, with the gauges taken from `status`.
    pub fn text(&self, status: &Status) -> String {
        self.set_gauges(status);
        let mut text = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }

    fn set_gauges(&self, status: &Status) {
        for bound in Bound::ALL {
            let counter = self.given_up.with_label_values(&[bound.as_str()]);
            counter.inc_by(bound.reached().saturating_sub(counter.get()));
        }
        self.open.set(status.open as u64);
        self.holds.set(status.holds as u64);
        self.keys.set(status.keys as u64);
        self.generation.set(status.generation);
        self.fresh.set(u64::from(status.fresh));
        self.store_age
            .set(status.store_age_ms.map_or(-1.0, |age| age as f64 / 1_000.0));
        self.leaving.set(u64::from(status.leaving));
        let alive = status
            .members
            .iter()
            .filter(|member| member.state == "alive")
            .count();
        self.members.set(alive as u64);
    }

    /// Initializes known labels to zero, so that rates have a starting value.
    fn initialize_labels(&self) {
        for outcome in ["answered", "not_run", "unknown", "failed"] {
            self.requests.with_label_values(&[outcome]).reset();
        }
        for kind in ["computed", "wasted"] {
            self.prefill_tokens.with_label_values(&[kind]).reset();
        }
        for (target, result) in TARGETS
            .into_iter()
            .flat_map(|t| [(t, "met"), (t, "missed")])
        {
            self.within_target
                .with_label_values(&[target, result])
                .reset();
        }
        for step in FRAME_STEPS {
            self.frames_rejected.with_label_values(&[step]).reset();
        }
    }

    fn count_target(&self, target: &str, met: bool) {
        let result = if met { "met" } else { "missed" };
        self.within_target
            .with_label_values(&[target, result])
            .inc();
    }
}

fn build() -> Result<Metrics, prometheus::Error> {
    let registry = Registry::new();
    let r = &registry;
    Ok(Metrics {
        requests: vector(r, "requests_total", "Requests by outcome.", &["outcome"])?,
        first_token: histogram(
            r,
            "first_token_seconds",
            "Time to first token.",
            &FIRST_TOKEN_BUCKETS,
        )?,
        token_gap: histogram(
            r,
            "token_gap_seconds",
            "Mean time between tokens of a request.",
            &TOKEN_GAP_BUCKETS,
        )?,
        within_target: vector(
            r,
            "latency_target_total",
            "Requests by latency target and whether it was met.",
            &["target", "result"],
        )?,
        good: counter(
            r,
            "goodput_requests_total",
            "Requests that met both latency targets.",
        )?,
        prefill_tokens: vector(
            r,
            "prefill_tokens_total",
            "Prefill work in tokens: computed, and of it wasted.",
            &["kind"],
        )?,
        swept: counter(
            r,
            "attempts_swept_total",
            "Attempts without an owner that were cancelled.",
        )?,
        retries: counter(r, "attempts_retried_total", "Retried attempts.")?,
        given_up: vector(
            r,
            "answers_given_up_total",
            "Answers that were given up, by the bound that they reached.",
            &["bound"],
        )?,
        faults: counter(
            r,
            "faults_total",
            "Internal errors of the core; zero in normal operation.",
        )?,
        orders: vector(
            r,
            "orders_total",
            "Orders to replicas.",
            &["kind", "result"],
        )?,
        frames_rejected: vector(
            r,
            "frames_rejected_total",
            "Peer connections closed because of invalid input, by step.",
            &["step"],
        )?,
        frames_dropped: counter(r, "frames_dropped_total", "Frames dropped before sending.")?,
        frames_sent: counter(r, "frames_sent_total", "Frames sent to peers.")?,
        open: gauge(r, "open_requests", "Requests open here.")?,
        holds: gauge(
            r,
            "holds",
            "Attempts whose memory is not confirmed released.",
        )?,
        keys: gauge(r, "keys", "Idempotency keys remembered.")?,
        generation: gauge(r, "table_generation", "Table generation in force here.")?,
        fresh: gauge(
            r,
            "table_fresh",
            "1 if the table is fresh enough to be used.",
        )?,
        store_age: seconds(
            r,
            "store_age_seconds",
            "Time since the store was read; -1 if never.",
        )?,
        leaving: gauge(r, "leaving", "1 during a planned stop.")?,
        members: gauge(
            r,
            "members_alive",
            "Instances seen alive, including this one.",
        )?,
        registry,
    })
}
