//! Whether a decode replica has room for a run, now and until the run ends.
//!
//! Answers the load in which many generations come at once: their prompts fit, and two seconds later
//! their answers do not. A run that its replica sets aside for want of memory has its prompt read
//! again and is late; one that is refused may come back; so the room has to last with some certainty,
//! the more the less is lost by refusing.

use ident::Time;

use crate::forecast::Curve;
use crate::server::Server;

/// Tokens that a run of another daemon is taken for that did not tell of it: a prompt of usual length
/// and half of its answer.
const USUAL_TOKENS: f64 = 5_000.0;

/// What a run asks of the memory of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryDemand {
    /// What it will hold.
    pub curve: Curve,
    /// Standard deviations of the forecast that the room has to last for.
    pub spreads: f64,
    /// Part of the memory that it leaves to others.
    pub spare: f64,
}

impl MemoryDemand {
    /// Whether `server`, which holds `memory` tokens, has room.
    pub fn fits(&self, now: Time, server: &Server, memory: u64) -> bool {
        self.used(now, server, memory) <= 1.0 - self.spare
    }

    /// Most of the memory of `server` that is in use over the next seconds with this run there, as a
    /// part of `memory` tokens.
    pub fn used(&self, now: Time, server: &Server, memory: u64) -> f64 {
        let known = server.forecast.plus(&self.curve).peak(self.spreads);
        (known + unknown(now, server)) / memory as f64
    }
}

/// Tokens of runs of which the replica told, and no daemon.
pub(crate) fn unknown(now: Time, server: &Server) -> f64 {
    (server.foreign(now) - f64::from(server.told_runs)).max(0.0) * USUAL_TOKENS
}
