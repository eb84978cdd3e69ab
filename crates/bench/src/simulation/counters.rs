//! Counts frames, bytes and processor time of the cores.

use std::time::Duration;

use node::ids::CallId;

use crate::simulation::kind::Kind;
use crate::usage;

/// Clock reads over which the cost of one is measured.
const CLOCK_READS: u32 = 10_000;

/// Frames, bytes and steps of one daemon, by kind.
#[derive(Debug, Clone, Copy, Default)]
struct DaemonCounts {
    frames: u64,
    bytes: u64,
    /// Bytes received from other daemons.
    received: u64,
    steps: u64,
    seconds: f64,
}

/// Counts of answers to callers and operators.
#[derive(Debug, Clone, Copy, Default)]
pub struct Answers {
    /// Requests with a complete answer.
    pub done: u64,
    /// Refused requests.
    pub refused: u64,
    /// Accepted edits.
    pub accepted: u64,
    /// Edits that were rejected or whose outcome is unknown.
    pub undecided: u64,
}

/// All counts since the last [`Counters::reset`].
#[derive(Debug)]
pub struct Counters {
    /// Answers to callers and operators.
    pub answers: Answers,
    counts: Vec<[DaemonCounts; Kind::ALL.len()]>,
    calls: u64,
    /// Processor time of one clock read in seconds, which each step's measurement includes.
    clock_cost: f64,
}

impl Counters {
    /// Empty counters for `daemons` daemons.
    pub(super) fn new(daemons: usize) -> Self {
        let started = usage::thread_time();
        for _ in 0..CLOCK_READS {
            std::hint::black_box(usage::thread_time());
        }
        let clock_cost = usage::thread_time().saturating_sub(started);
        Self {
            answers: Answers::default(),
            counts: vec![[DaemonCounts::default(); Kind::ALL.len()]; daemons],
            calls: 0,
            clock_cost: clock_cost.as_secs_f64() / f64::from(CLOCK_READS),
        }
    }

    /// Resets all counts.
    pub fn reset(&mut self) {
        self.answers = Answers::default();
        let daemons = self.counts.len();
        self.counts = vec![[DaemonCounts::default(); Kind::ALL.len()]; daemons];
    }

    /// A new id for a caller's connection.
    pub(super) fn new_call(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    pub(super) fn record_step(&mut self, daemon: usize, kind: Kind, spent: Duration) {
        let count = &mut self.counts[daemon][kind as usize];
        count.steps += 1;
        count.seconds += (spent.as_secs_f64() - self.clock_cost).max(0.0);
    }

    pub(super) fn record_frame(
        &mut self,
        from: usize,
        to: Option<usize>,
        kind: Kind,
        bytes: usize,
    ) {
        let count = &mut self.counts[from][kind as usize];
        count.frames += 1;
        count.bytes += bytes as u64;
        if let Some(to) = to {
            self.counts[to][kind as usize].received += bytes as u64;
        }
    }

    /// Mean number of frames of `kind` sent per daemon.
    pub fn frames(&self, kind: Kind) -> f64 {
        self.mean(|count| count.frames as f64, kind)
    }

    /// Mean number of bytes of `kind` sent per daemon.
    pub fn bytes(&self, kind: Kind) -> f64 {
        self.mean(|count| count.bytes as f64, kind)
    }

    /// Mean processor time on `kind` per daemon, in seconds.
    pub fn seconds(&self, kind: Kind) -> f64 {
        self.mean(|count| count.seconds, kind)
    }

    /// Bytes of all kinds sent and received, per daemon.
    pub fn bytes_of_each(&self) -> Vec<f64> {
        let sum = |counts: &[DaemonCounts; Kind::ALL.len()]| {
            counts
                .iter()
                .map(|count| (count.bytes + count.received) as f64)
                .sum()
        };
        self.counts.iter().map(sum).collect()
    }

    /// Bytes of all kinds sent, per daemon.
    pub fn sent_of_each(&self) -> Vec<f64> {
        let sum = |counts: &[DaemonCounts; Kind::ALL.len()]| {
            counts.iter().map(|count| count.bytes as f64).sum()
        };
        self.counts.iter().map(sum).collect()
    }

    /// Frames of all kinds sent, per daemon.
    pub fn frames_of_each(&self) -> Vec<f64> {
        let sum = |counts: &[DaemonCounts; Kind::ALL.len()]| {
            counts.iter().map(|count| count.frames as f64).sum()
        };
        self.counts.iter().map(sum).collect()
    }

    /// Processor time on all kinds, per daemon, in seconds.
    pub fn seconds_of_each(&self) -> Vec<f64> {
        let sum = |counts: &[DaemonCounts; Kind::ALL.len()]| {
            counts.iter().map(|count| count.seconds).sum()
        };
        self.counts.iter().map(sum).collect()
    }

    fn mean(&self, value: impl Fn(&DaemonCounts) -> f64, kind: Kind) -> f64 {
        let sum: f64 = self
            .counts
            .iter()
            .map(|counts| value(&counts[kind as usize]))
            .sum();
        sum / self.counts.len() as f64
    }
}
