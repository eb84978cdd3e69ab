//! One instance: its list, the begins that it knows, and what it waits for.

use std::time::Duration;

use ident::Time;
use relay::begins::Begins;
use relay::epoch::Epoch;
use relay::pool::Pool;
use relay::replica::Source;
use relay::replica::Update;
use relay::revision::Revision;

/// A call of the store for the list.
#[derive(Debug, Clone)]
pub struct Reading {
    pub began_at: Time,
    pub since: Revision,
    pub answer: Option<Update>,
}

/// Answer of a peer to the question whether its list equals this one's.
#[derive(Debug, Clone)]
pub struct Status {
    pub asked_at: Time,
    pub digest: u64,
    pub is_same: bool,
    pub version: Revision,
    /// Time since the peer's list was read.
    pub age: Duration,
    /// What is sent instead if the lists differ.
    pub update: Option<Update>,
}

/// A caller that resumes a stream, and waits for a list that is newer than its question.
#[derive(Debug, Clone, Copy)]
pub struct Resumption {
    pub stream: usize,
    pub asked_at: Time,
}

/// A record of the only version, read with the changes after it.
#[derive(Debug, Clone)]
pub struct Proof {
    pub asked_at: Time,
    pub epoch: Epoch,
}

#[derive(Debug)]
pub struct Instance {
    pub run: u32,
    pub is_up: bool,
    pub is_frozen: bool,
    pub is_cut: bool,
    pub pool: Pool,
    pub begins: Begins,
    pub era: u64,
    pub reading: Option<Reading>,
    pub status: Option<Status>,
    pub proof: Option<Proof>,
    pub waiting: Vec<Resumption>,
    /// Hash of all that it did so far.
    pub log: u64,
}

impl Instance {
    pub fn new(run: u32) -> Self {
        Self {
            run,
            is_up: true,
            is_frozen: false,
            is_cut: false,
            pool: Pool::new(),
            begins: Begins::new(),
            era: 0,
            reading: None,
            status: None,
            proof: None,
            waiting: Vec::new(),
            log: 0,
        }
    }

    /// Whether it takes steps.
    pub const fn acts(&self) -> bool {
        self.is_up && !self.is_frozen
    }

    /// Whether it takes steps, and messages reach it.
    pub const fn is_reached(&self) -> bool {
        self.acts() && !self.is_cut
    }

    /// Applies a list that was read at `read_at`.
    pub fn apply(&mut self, now: Time, source: Source, read_at: Time, update: &Update) {
        self.era = self.era.max(update.version().era);
        self.pool.apply_read(now, self.era, source, read_at, update);
    }
}
