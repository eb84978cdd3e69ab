//! Models engines and plain applications.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use ident::Time;
use route::replica::CacheEvent;
use route::replica::Role;

use crate::workload::BLOCK;

/// Prefill tokens per second.
const PREFILL_RATE: f64 = 10_000.0;
/// Fixed time of a prefill.
const PREFILL_BASE: Duration = Duration::from_millis(5);
/// Fixed time of a decode step, in seconds.
const TOKEN_BASE: f64 = 0.014;
/// Time that each request of the batch adds to a decode step, in seconds.
const TOKEN_PER_REQUEST: f64 = 0.0006;
/// Most prefills in a replica's queue.
pub const MAX_QUEUE: usize = 8;
/// Capacity of a replica's prefix cache, in blocks.
const CACHE_BLOCKS: usize = 3_200;
/// Time for which a replica keeps a prefill result.
pub const RESULT_RETENTION: Duration = Duration::from_millis(800);

/// Index of an attempt in a simulation.
pub type Attempt = usize;

/// A replica of any role, with its queue, batch and prefix cache.
#[derive(Debug)]
pub struct Engine {
    /// Prefill, decode or plain.
    pub role: Role,
    /// Index of its data centre.
    pub zone: usize,
    /// Number of its starts.
    pub boot: u64,
    /// Whether it is running.
    pub up: bool,
    /// Most requests that it runs concurrently.
    pub slots: usize,
    /// Waiting attempts (prefill, plain).
    pub queue: VecDeque<Attempt>,
    /// The running prefill: attempt, computed tokens, cached tokens, start.
    pub running: Option<(Attempt, u32, u32, Time)>,
    /// Attempts that hold a slot (decode, plain).
    pub held: Vec<Attempt>,
    /// Attempts that generate tokens, with the number left.
    pub batch: Vec<(Attempt, u32)>,
    /// Whether a decode step is in progress.
    pub stepping: bool,
    /// Load as last published: running, waiting, waiting tokens.
    pub published: (u32, u32, u64),
    /// Cache events with the time at which they become visible.
    pub events: VecDeque<(Time, CacheEvent)>,
    cache: HashMap<u64, u64>,
    recency: BTreeMap<u64, u64>,
    clock: u64,
    seq: u64,
}

impl Engine {
    /// A running replica without requests.
    pub fn new(role: Role, zone: usize, slots: usize) -> Self {
        Self {
            role,
            zone,
            boot: 1,
            up: true,
            slots,
            queue: VecDeque::new(),
            running: None,
            held: Vec::new(),
            batch: Vec::new(),
            stepping: false,
            published: (0, 0, 0),
            events: VecDeque::new(),
            cache: HashMap::new(),
            recency: BTreeMap::new(),
            clock: 0,
            seq: 0,
        }
    }

    /// Restarts the replica, which loses its requests and its cache.
    pub fn reboot(&mut self) {
        let boot = self.boot + 1;
        *self = Self {
            boot,
            ..Self::new(self.role, self.zone, self.slots)
        };
    }

    /// Returns the tokens of the leading blocks found in the cache, and caches all `blocks`.
    ///
    /// Cache events become visible at `visible`.
    pub fn read_cache(&mut self, visible: Time, blocks: &[u64]) -> u32 {
        let hit = blocks
            .iter()
            .take_while(|block| self.cache.contains_key(block))
            .count();
        for block in blocks {
            self.touch(visible, *block);
        }
        hit as u32 * BLOCK
    }

    fn touch(&mut self, visible: Time, block: u64) {
        self.clock += 1;
        match self.cache.insert(block, self.clock) {
            Some(old) => drop(self.recency.remove(&old)),
            None => self.publish(visible, block, true),
        }
        self.recency.insert(self.clock, block);
        if self.cache.len() <= CACHE_BLOCKS {
            return;
        }
        if let Some((_, oldest)) = self.recency.pop_first() {
            self.cache.remove(&oldest);
            self.publish(visible, oldest, false);
        }
    }

    fn publish(&mut self, visible: Time, block: u64, stored: bool) {
        self.seq += 1;
        self.events.push_back((
            visible,
            CacheEvent {
                seq: self.seq,
                block,
                stored,
            },
        ));
    }

    /// Time to prefill `tokens` that are not cached.
    pub fn prefill_time(tokens: u32) -> Duration {
        PREFILL_BASE + Duration::from_secs_f64(f64::from(tokens) / PREFILL_RATE)
    }

    /// Tokens computed by a prefill that has run for `ran`.
    pub fn tokens_after(ran: Duration) -> u32 {
        (ran.saturating_sub(PREFILL_BASE).as_secs_f64() * PREFILL_RATE) as u32
    }

    /// Time of one decode step of the current batch.
    pub fn step_time(&self) -> Duration {
        Duration::from_secs_f64(TOKEN_BASE + TOKEN_PER_REQUEST * self.batch.len() as f64)
    }

    /// Removes an attempt from queue, slots and batch; false if it was in neither queue nor slots.
    pub fn remove_attempt(&mut self, attempt: Attempt) -> bool {
        let before = self.queue.len() + self.held.len();
        self.queue.retain(|other| *other != attempt);
        self.held.retain(|other| *other != attempt);
        self.batch.retain(|(other, _)| *other != attempt);
        before != self.queue.len() + self.held.len()
    }

    /// Requests at this replica, queued or running.
    pub fn works(&self) -> u32 {
        (self.queue.len() + self.held.len() + usize::from(self.running.is_some())) as u32
    }
}
