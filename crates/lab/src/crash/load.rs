//! Loads with parts that crash replicas.

use std::time::Duration;

/// One load.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Name of the load.
    pub name: &'static str,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of decode replicas.
    pub replicas: usize,
    /// Sound requests per second.
    pub sound_rate: f64,
    /// Number of parts that crash replicas.
    pub crashing_parts: u64,
    /// Requests per second with each of them.
    pub crashing_rate: f64,
    /// Whether the first ones of these requests come in one second, one to each daemon.
    pub together: bool,
    /// Fraction of the replicas that end at the same moment.
    pub rack: f64,
    /// Whether all daemons restart when the crashing requests begin, and forget what was served.
    pub restarts: bool,
    /// Fraction of the datagrams between daemons that are lost.
    pub loss: f64,
}

impl Load {
    /// A load of `crashing_rate` requests per second with one part that crashes replicas.
    pub const fn new(
        name: &'static str,
        daemons: usize,
        replicas: usize,
        sound_rate: f64,
        crashing_rate: f64,
    ) -> Self {
        Self {
            name,
            daemons,
            replicas,
            sound_rate,
            crashing_parts: 1,
            crashing_rate,
            together: false,
            rack: 0.0,
            restarts: false,
            loss: 0.0,
        }
    }

    /// The same with `count` parts.
    #[must_use]
    pub const fn with_parts(mut self, count: u64) -> Self {
        self.crashing_parts = count;
        self
    }

    /// The same with a crashing request at each daemon in the same second.
    #[must_use]
    pub const fn with_burst(mut self) -> Self {
        self.together = true;
        self
    }

    /// The same with this fraction of the replicas ending together.
    #[must_use]
    pub const fn with_rack(mut self, fraction: f64) -> Self {
        self.rack = fraction;
        self
    }

    /// The same with daemons that have all just restarted.
    #[must_use]
    pub const fn with_restarts(mut self) -> Self {
        self.restarts = true;
        self
    }

    /// The same with lost datagrams.
    #[must_use]
    pub const fn with_loss(mut self, fraction: f64) -> Self {
        self.loss = fraction;
        self
    }
}

/// Time with sound requests alone, after which those with crashing parts begin.
pub const QUIET: Duration = Duration::from_secs(20);
/// Time with crashing parts.
pub const CRASHES: Duration = Duration::from_mins(1);
