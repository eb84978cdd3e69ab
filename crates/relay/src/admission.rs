//! Checks whether a decode replica has memory for a run, now and until the run ends.
//!
//! In a burst, the prompts of many generations fit, and two seconds later their answers do not. A
//! run that its replica preempts for lack of memory is prefilled again and is late, whereas a
//! refused one may retry. So the memory has to suffice with a margin, which is larger the less a
//! refusal costs.

use ident::Time;

use crate::forecast::Curve;
use crate::server::Server;

/// Tokens assumed for a run that no daemon has reported: a typical prompt and half of its answer.
const TYPICAL_RUN_TOKENS: f64 = 5_000.0;

/// Memory that a run needs at a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryDemand {
    /// Forecast of the run's memory.
    pub curve: Curve,
    /// Margin above the mean forecast, in standard deviations.
    pub spreads: f64,
    /// Fraction of the replica's memory to leave free.
    pub spare: f64,
}

impl MemoryDemand {
    /// Whether `server`, whose memory holds `memory` tokens, has room for the run.
    pub fn fits(&self, now: Time, server: &Server, memory: u64) -> bool {
        self.peak_utilization(now, server, memory) <= 1.0 - self.spare
    }

    /// Peak memory use of `server` over the next seconds including this run, as a fraction of
    /// `memory` tokens.
    pub fn peak_utilization(&self, now: Time, server: &Server, memory: u64) -> f64 {
        let known = server.forecast.plus(&self.curve).peak(self.spreads);
        (known + unreported_tokens(now, server)) / memory as f64
    }
}

/// Tokens of runs that the replica has reported but no daemon has.
pub(crate) fn unreported_tokens(now: Time, server: &Server) -> f64 {
    (server.peer_requests(now) - f64::from(server.peer_runs)).max(0.0) * TYPICAL_RUN_TOKENS
}
