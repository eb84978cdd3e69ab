//! Metrics of what is refused under load.

use prometheus::Error;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::metrics::registration::full_name;
use crate::metrics::registration::register;

/// Metrics of what is refused under load.
#[derive(Debug)]
pub struct LoadMetrics {
    shed: IntCounterVec,
}

impl LoadMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// If a name is already registered.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let shed = Opts::new(
            full_name("shed_total"),
            "Calls refused because every replica would answer too late",
        );
        let shed = IntCounterVec::new(shed, &["service"])?;
        Ok(Self {
            shed: register(registry, shed)?,
        })
    }

    /// Counts a call of `service` that was refused because every replica would answer too late.
    pub fn shed(&self, service: &str) {
        self.shed.with_label_values(&[service]).inc();
    }
}
