//! Metrics of the memory that requests and answers hold.

use prometheus::Error;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::core::AtomicU64;
use prometheus::core::GenericGaugeVec;

use crate::memory::Budget;
use crate::memory::Memory;
use crate::metrics::registration::full_name;
use crate::metrics::registration::register;

/// Metrics of the memory that requests and answers hold.
#[derive(Debug)]
pub struct MemoryMetrics {
    held: GenericGaugeVec<AtomicU64>,
    limit: GenericGaugeVec<AtomicU64>,
    bounded: IntCounterVec,
}

impl MemoryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// If a name is already registered.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let held = Opts::new(
            full_name("memory_held_bytes"),
            "Bytes that requests or answers hold",
        );
        let limit = Opts::new(
            full_name("memory_limit_bytes"),
            "Bytes that requests or answers may hold",
        );
        let bounded = Opts::new(
            full_name("memory_bounded_total"),
            "Requests that were refused, and answers that were ended, by a bound on memory",
        );
        Ok(Self {
            held: register(registry, GenericGaugeVec::new(held, &["for"])?)?,
            limit: register(registry, GenericGaugeVec::new(limit, &["for"])?)?,
            bounded: register(registry, IntCounterVec::new(bounded, &["bound"])?)?,
        })
    }

    /// Sets what is held and may be held.
    pub fn set(&self, memory: &Memory) {
        let set = |name: &str, budget: &Budget| {
            let (held, limit) = (budget.held() as u64, budget.limit() as u64);
            self.held.with_label_values(&[name]).set(held);
            self.limit.with_label_values(&[name]).set(limit);
        };
        set("requests", &memory.requests);
        set("answers", &memory.answers);
    }

    /// Counts what was refused or ended by `bound`: `requests`, `answer` or `all-answers`.
    pub fn bounded(&self, bound: &str) {
        self.bounded.with_label_values(&[bound]).inc();
    }
}
