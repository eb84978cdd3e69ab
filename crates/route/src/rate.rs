//! Running averages of rates and durations.

use std::time::Duration;

use ident::Time;

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy)]
pub struct Ewma {
    value: f64,
    weight: f64,
}

impl Ewma {
    /// An average that starts at `value`; each sample has the weight `weight`.
    pub const fn new(value: f64, weight: f64) -> Self {
        Self { value, weight }
    }

    /// Adds one sample.
    pub fn add(&mut self, sample: f64) {
        self.value += self.weight * (sample - self.value);
    }

    /// The current average.
    pub const fn value(&self) -> f64 {
        self.value
    }
}

/// Event rate, averaged over a time constant.
#[derive(Debug, Clone, Copy)]
pub struct Meter {
    level: f64,
    at: Time,
    constant: f64,
}

impl Meter {
    /// A meter with this time constant and no events before `now`.
    pub const fn new(now: Time, constant: Duration) -> Self {
        Self {
            level: 0.0,
            at: now,
            constant: constant.as_secs_f64(),
        }
    }

    /// Counts `amount` events at `now`.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.level = self.decayed(now) + amount;
        self.at = now;
    }

    /// Events per second at `now`.
    pub fn rate(&self, now: Time) -> f64 {
        self.decayed(now) / self.constant
    }

    /// The decayed number of events at `now`.
    pub fn decayed(&self, now: Time) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.level * (-passed / self.constant).exp()
    }
}
