//! What a replica of a given speed makes of an answer: whether it ends before its caller's deadline,
//! whether its events come often enough, and how its memory grows.
//!
//! Replicas of one service differ in speed, for good or for some seconds. A long answer at a slow
//! replica does not end in time, and one at a fast replica holds more memory sooner.

use std::time::Duration;

use ident::Time;

use crate::forecast::Curve;
use crate::forecast::Run;
use crate::length::LengthDistribution;

/// What the caller of a stream expects of its speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// When the answer has to be complete.
    pub deadline: Time,
    /// Longest pause between two events; `None` if pauses are not limited.
    pub pause: Option<Duration>,
    /// Tokens per event.
    pub event_tokens: u64,
}

/// An answer that a decode replica is to make, or to continue.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    run: Run,
    length: LengthDistribution,
    /// Time until the deadline once the replica generates.
    time_left: Duration,
    pause: Option<Duration>,
    event_tokens: u64,
    max_pace: Option<f64>,
}

impl Answer {
    /// Creates the answer of `run`, whose length is distributed as `length`. It has `time_left` from
    /// the first token to the deadline.
    pub const fn new(
        run: Run,
        length: LengthDistribution,
        limits: Limits,
        time_left: Duration,
    ) -> Self {
        Self {
            run,
            length,
            time_left,
            pause: limits.pause,
            event_tokens: limits.event_tokens,
            max_pace: None,
        }
    }

    /// The same answer, only for replicas that are known to take at most `seconds` for a token.
    #[must_use]
    pub const fn with_max_pace(mut self, seconds: f64) -> Self {
        self.max_pace = Some(seconds);
        self
    }

    /// Time until the deadline once the replica generates.
    pub const fn time_left(&self) -> Duration {
        self.time_left
    }

    /// Whether a replica that takes `token_pace` seconds for a token, `None` if unknown, may make it.
    pub fn accepts(&self, token_pace: Option<f64>) -> bool {
        match (self.max_pace, token_pace) {
            (Some(max), Some(pace)) => pace <= max,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }

    /// Forecast of its memory at a replica that takes `token_pace` seconds for a token.
    pub fn curve(&self, token_pace: f64) -> Curve {
        self.run.at_pace(token_pace).curve(&self.length)
    }

    /// Probability that it does not end in time at a replica that takes `token_pace` seconds for a
    /// token.
    pub fn share_unfinished(&self, token_pace: f64) -> f64 {
        self.share_longer_than(token_pace, self.time_left)
    }

    /// Probability that a replica that takes `token_pace` seconds for a token still makes it after
    /// `time`.
    pub fn share_longer_than(&self, token_pace: f64, time: Duration) -> f64 {
        let run = self.run.at_pace(token_pace);
        run.survival(&self.length, time.as_secs_f64())
    }

    /// Whether its events are further apart than the limit for pauses at a replica that takes
    /// `token_pace` seconds for a token.
    pub fn has_long_pauses(&self, token_pace: f64) -> bool {
        let pause = token_pace * self.event_tokens as f64;
        self.pause.is_some_and(|limit| pause > limit.as_secs_f64())
    }

    /// Probability that its caller is not served in time by a replica that takes `token_pace` seconds
    /// for a token: the answer does not end before the deadline, or each pause is too long.
    pub fn share_late(&self, token_pace: f64) -> f64 {
        if self.has_long_pauses(token_pace) {
            1.0
        } else {
            self.share_unfinished(token_pace)
        }
    }
}
