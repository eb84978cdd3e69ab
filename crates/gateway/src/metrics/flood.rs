//! Metrics of connections that bring too many bytes.

use prometheus::Error;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::metrics::registration::full_name;
use crate::metrics::registration::register;

/// Metrics of connections that bring too many bytes.
#[derive(Debug)]
pub struct FloodMetrics {
    floods: IntCounterVec,
}

impl FloodMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// If a name is already registered.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let floods = Opts::new(
            full_name("floods_total"),
            "Connections closed since the other side sent too many bytes that belong to no message",
        );
        let floods = IntCounterVec::new(floods, &["peer"])?;
        Ok(Self {
            floods: register(registry, floods)?,
        })
    }

    /// Counts connections of a `replica`, the `store` or a `caller`, as `peer` says.
    pub fn counter(&self, peer: &str) -> IntCounter {
        self.floods.with_label_values(&[peer])
    }
}
