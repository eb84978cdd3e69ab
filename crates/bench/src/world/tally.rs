//! Counts of what the cores sent and used.

use std::time::Duration;

use node::ids::CallId;

use crate::usage;
use crate::world::kind::Kind;

/// Pairs of clock reads by which their own cost is found.
const READS: u32 = 10_000;

/// Frames, bytes and steps of one daemon, by kind.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    frames: u64,
    bytes: u64,
    /// Bytes that others sent to it.
    received: u64,
    steps: u64,
    seconds: f64,
}

/// How callers and operators were answered.
#[derive(Debug, Clone, Copy, Default)]
pub struct Answers {
    /// Requests answered in full.
    pub done: u64,
    /// Requests refused.
    pub refused: u64,
    /// Edits accepted.
    pub accepted: u64,
    /// Edits whose fate was not told, or which were refused.
    pub undecided: u64,
}

/// All counts since the last [`Tally::reset`].
#[derive(Debug)]
pub struct Tally {
    /// Answers to callers and operators.
    pub answers: Answers,
    counts: Vec<[Count; Kind::ALL.len()]>,
    calls: u64,
    /// Processor time of reading the clock before and after a step.
    clock: f64,
}

impl Tally {
    /// No counts, for `daemons` daemons.
    pub(super) fn new(daemons: usize) -> Self {
        let begun = usage::thread_time();
        for _ in 0..READS {
            std::hint::black_box(usage::thread_time());
        }
        let clock = usage::thread_time().saturating_sub(begun);
        Self {
            answers: Answers::default(),
            counts: vec![[Count::default(); Kind::ALL.len()]; daemons],
            calls: 0,
            clock: clock.as_secs_f64() / f64::from(READS),
        }
    }

    /// Forgets all counts.
    pub fn reset(&mut self) {
        self.answers = Answers::default();
        let daemons = self.counts.len();
        self.counts = vec![[Count::default(); Kind::ALL.len()]; daemons];
    }

    /// A fresh number for a caller's connection.
    pub(super) fn call(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    pub(super) fn step(&mut self, daemon: usize, kind: Kind, spent: Duration) {
        let count = &mut self.counts[daemon][kind as usize];
        count.steps += 1;
        count.seconds += (spent.as_secs_f64() - self.clock).max(0.0);
    }

    pub(super) fn frame(&mut self, from: usize, to: Option<usize>, kind: Kind, bytes: usize) {
        let count = &mut self.counts[from][kind as usize];
        count.frames += 1;
        count.bytes += bytes as u64;
        if let Some(to) = to {
            self.counts[to][kind as usize].received += bytes as u64;
        }
    }

    /// Frames of `kind` sent by the mean daemon.
    pub fn frames(&self, kind: Kind) -> f64 {
        self.mean(|count| count.frames as f64, kind)
    }

    /// Bytes of `kind` sent by the mean daemon.
    pub fn bytes(&self, kind: Kind) -> f64 {
        self.mean(|count| count.bytes as f64, kind)
    }

    /// Seconds of processor time spent on `kind` by the mean daemon.
    pub fn seconds(&self, kind: Kind) -> f64 {
        self.mean(|count| count.seconds, kind)
    }

    /// Bytes sent and received by each daemon in all kinds.
    pub fn bytes_of_each(&self) -> Vec<f64> {
        let sum = |counts: &[Count; Kind::ALL.len()]| {
            counts
                .iter()
                .map(|count| (count.bytes + count.received) as f64)
                .sum()
        };
        self.counts.iter().map(sum).collect()
    }

    /// Bytes sent by each daemon in all kinds.
    pub fn sent_of_each(&self) -> Vec<f64> {
        let sum =
            |counts: &[Count; Kind::ALL.len()]| counts.iter().map(|count| count.bytes as f64).sum();
        self.counts.iter().map(sum).collect()
    }

    /// Frames sent by each daemon in all kinds.
    pub fn frames_of_each(&self) -> Vec<f64> {
        let sum = |counts: &[Count; Kind::ALL.len()]| {
            counts.iter().map(|count| count.frames as f64).sum()
        };
        self.counts.iter().map(sum).collect()
    }

    /// Seconds of processor time spent by each daemon in all kinds.
    pub fn seconds_of_each(&self) -> Vec<f64> {
        let sum =
            |counts: &[Count; Kind::ALL.len()]| counts.iter().map(|count| count.seconds).sum();
        self.counts.iter().map(sum).collect()
    }

    fn mean(&self, value: impl Fn(&Count) -> f64, kind: Kind) -> f64 {
        let sum: f64 = self
            .counts
            .iter()
            .map(|counts| value(&counts[kind as usize]))
            .sum();
        sum / self.counts.len() as f64
    }
}
