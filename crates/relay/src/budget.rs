//! Budget of retries: the share of this daemon in the retries that all daemons together may send.

use std::collections::VecDeque;
use std::time::Duration;

use ident::Time;

use crate::permit::Permit;

/// What all daemons together may retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Retries for each request of callers.
    pub ratio: f64,
    /// Retries besides, over all daemons.
    pub slack: f64,
    /// Span over which both are counted; any span of this length.
    pub window: Duration,
}

/// Part of the ratio that is used; the rest covers retries that are counted in a window whose
/// requests lie just before it.
const RATIO_PART: f64 = 0.8;
/// Part of the slack that is used.
const SLACK_PART: f64 = 0.7;
/// The same in the first window after the start of the process: all daemons may have been killed with their parts
/// used up, and know nothing of it. Both parts together are the slack.
const STARTING_SLACK_PART: f64 = 0.3;

/// Requests and retries of one service at this daemon.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time, rule: &RetryPolicy) {
        forget(&mut self.requests, now, rule.window);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget, if one is left; `daemons` share the slack.
    pub fn take(&mut self, now: Time, rule: &RetryPolicy, daemons: usize) -> Option<Permit> {
        if self.remaining(now, rule, daemons) < 1.0 {
            return None;
        }
        self.retries.push_back(now);
        Some(Permit::new())
    }

    /// Retries that are left at `now`, a time since the start of the process.
    pub fn remaining(&mut self, now: Time, rule: &RetryPolicy, daemons: usize) -> f64 {
        forget(&mut self.requests, now, rule.window);
        forget(&mut self.retries, now, rule.window);
        let earned = self.requests.len() as f64 * rule.ratio * RATIO_PART;
        let part = match now.since(Time::ZERO) {
            age if age < rule.window => STARTING_SLACK_PART,
            _ => SLACK_PART,
        };
        let share = rule.slack * part / daemons.max(1) as f64;
        earned + share - self.retries.len() as f64
    }
}

fn forget(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
