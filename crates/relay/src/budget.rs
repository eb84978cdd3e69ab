//! Limits retries to the share of this daemon in what all daemons together may send.

use std::collections::VecDeque;
use std::time::Duration;

use ident::Time;

use crate::permit::Permit;

/// Limit on the retries of all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Retries for each request of a caller.
    pub ratio: f64,
    /// Retries in addition, over all daemons.
    pub slack: f64,
    /// Length of the sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// Fraction of the ratio that is used. The rest covers retries counted in a window whose requests
/// lie just before it.
const RATIO_PART: f64 = 0.8;
/// Fraction of the slack that is used.
const SLACK_PART: f64 = 0.7;
/// Fraction of the slack that is used in the first window after the start of the process. All
/// daemons may have been killed after using up their slack and do not know it, so this and
/// `SLACK_PART` add up to 1.
const STARTING_SLACK_PART: f64 = 0.3;

/// Requests and retries of one service at this daemon.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time, policy: &RetryPolicy) {
        remove_expired(&mut self.requests, now, policy.window);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget, if one is left. `daemons` share the slack.
    pub fn take(&mut self, now: Time, policy: &RetryPolicy, daemons: usize) -> Option<Permit> {
        if self.remaining(now, policy, daemons) < 1.0 {
            return None;
        }
        self.retries.push_back(now);
        Some(Permit::new())
    }

    /// Retries that are left at `now`, the time since the start of the process.
    pub fn remaining(&mut self, now: Time, policy: &RetryPolicy, daemons: usize) -> f64 {
        remove_expired(&mut self.requests, now, policy.window);
        remove_expired(&mut self.retries, now, policy.window);
        let earned = self.requests.len() as f64 * policy.ratio * RATIO_PART;
        let part = match now.since(Time::ZERO) {
            age if age < policy.window => STARTING_SLACK_PART,
            _ => SLACK_PART,
        };
        let share = policy.slack * part / daemons.max(1) as f64;
        earned + share - self.retries.len() as f64
    }
}

fn remove_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
