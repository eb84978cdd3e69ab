//! The prefix cache. Its events are published with a lag, and some are lost.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;

/// Maximum number of retained events.
const MAX_EVENTS: usize = 16_384;

/// Reports that a block was stored or evicted.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct Event {
    pub(super) seq: u64,
    block: u64,
    stored: bool,
}

/// A prefix cache with least-recently-used eviction.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    events: VecDeque<(Instant, Event)>,
    seq: u64,
    loss_probability: f64,
    random: Pcg64,
}

impl Cache {
    /// Creates a cache of `capacity` blocks that loses events with `loss_probability`.
    pub(super) fn new(capacity: usize, loss_probability: f64, seed: u64) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
            events: VecDeque::new(),
            seq: 0,
            loss_probability,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Returns how many leading `blocks` are cached.
    pub(super) fn hits(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count()
    }

    /// Stores `blocks`. Events are published only if `publish` is set.
    pub(super) fn store(&mut self, blocks: &[u64], publish: bool) {
        for &block in blocks {
            self.clock += 1;
            if self.last_used.insert(block, self.clock).is_none() {
                self.publish(block, true, publish);
            }
            self.evict(publish);
        }
    }

    /// Returns the events after sequence number `after` that are at least `lag` old.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<Event> {
        self.events
            .iter()
            .take_while(|(at, _)| at.elapsed() >= lag)
            .map(|(_, event)| *event)
            .filter(|event| event.seq > after)
            .collect()
    }

    fn evict(&mut self, publish: bool) {
        if self.last_used.len() <= self.capacity {
            return;
        }
        let oldest = self
            .last_used
            .iter()
            .min_by_key(|(_, used)| **used)
            .map(|(block, _)| *block);
        if let Some(block) = oldest {
            self.last_used.remove(&block);
            self.publish(block, false, publish);
        }
    }

    fn publish(&mut self, block: u64, stored: bool, publish: bool) {
        self.seq += 1;
        if !publish || self.random.random_bool(self.loss_probability) {
            return;
        }
        self.events.push_back((
            Instant::now(),
            Event {
                seq: self.seq,
                block,
                stored,
            },
        ));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
