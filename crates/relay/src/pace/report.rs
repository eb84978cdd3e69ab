//! Announcements of paces between daemons.

use std::time::Duration;

use ident::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::pace::Pace;
use crate::replica::Stage;

/// Maximum number of paces announced with one datagram.
pub const MAX_REPORTS: usize = 8;
/// Step of the announced ages.
const AGE_STEP: Duration = Duration::from_millis(100);
/// Announced steps for each second per token.
const STEPS_PER_SECOND: f64 = 1e6;

/// The pace of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Hash of the incarnation, as in claims.
    pub replica: u64,
    /// Stage at which it was measured; a replica may have changed its stage since.
    pub stage: Stage,
    /// Microseconds per token; the largest value stands for all larger ones.
    pub us_per_token: u16,
    /// Age of the measurement in tenths of a second, rounded up, so that a measurement does not
    /// seem newer each time it is passed on.
    pub age_ds: u16,
}

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The pace is in use.
    Taken,
    /// An equally new measurement or a newer one is known, or the reported one is too old.
    Outdated,
    /// No such incarnation is known here.
    Unknown,
    /// The replica works at another stage.
    OtherStage,
    /// The pace is not positive.
    Invalid,
}

impl PaceReport {
    /// Report at `now` of the `pace` that `replica` has at `stage`; `None` if it is too old.
    pub fn new(now: Time, replica: u64, stage: Stage, pace: Pace) -> Option<Self> {
        pace.current(now)?;
        let steps = pace.seconds * STEPS_PER_SECOND;
        let age = pace.age(now).as_millis();
        Some(Self {
            replica,
            stage,
            us_per_token: steps.round().clamp(1.0, f64::from(u16::MAX)) as u16,
            age_ds: age.div_ceil(AGE_STEP.as_millis()) as u16,
        })
    }

    /// The pace as of a report that arrives at `now`; `None` if it is too old.
    pub fn pace(&self, now: Time) -> Option<Pace> {
        let age = AGE_STEP * u32::from(self.age_ds);
        let seconds = f64::from(self.us_per_token) / STEPS_PER_SECOND;
        Pace::with_age(now, age, seconds)
    }
}
