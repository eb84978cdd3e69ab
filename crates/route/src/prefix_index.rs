//! Estimates which replicas cache which prefix blocks, from events that arrive late and with gaps.
//!
//! Only a sample of the blocks is indexed, chosen by the block's hash, so that events and prompts
//! agree on it without knowing a block's position in a prompt.

use std::collections::VecDeque;

use crate::hash::Map;
use crate::hash::mix;
use crate::server::ReplicaKey;

/// One block in this many is indexed.
const SAMPLE_INTERVAL: u64 = 4;
/// Most sampled blocks indexed for one replica, and for all.
const MAX_REPLICA_BLOCKS: usize = 4_096;
const MAX_TOTAL_BLOCKS: usize = 65_536;
/// Most holders remembered for one block, the latest ones.
const MAX_HOLDERS: usize = 3;
/// Fraction of events that are evictions once a cache is full.
const EVICTION_FRACTION: f64 = 0.5;

#[derive(Debug, Clone, Copy, Default)]
struct Holder {
    key: ReplicaKey,
    stamp: u32,
    eviction_risk: f32,
}

/// Replicas that hold one block, the latest last.
#[derive(Debug, Clone, Copy, Default)]
struct Holders {
    all: [Holder; MAX_HOLDERS],
    count: u8,
}

impl Holders {
    fn as_slice(&self) -> &[Holder] {
        &self.all[..usize::from(self.count)]
    }

    fn find(&self, key: ReplicaKey) -> Option<Holder> {
        self.as_slice()
            .iter()
            .find(|holder| holder.key == key)
            .copied()
    }

    /// Removes `key`; returns false if it was absent.
    fn remove(&mut self, key: ReplicaKey) -> bool {
        let Some(at) = self.as_slice().iter().position(|holder| holder.key == key) else {
            return false;
        };
        self.all.copy_within(at + 1.., at);
        self.count -= 1;
        true
    }

    /// Adds a holder; returns the oldest one if it had to be displaced.
    fn push(&mut self, holder: Holder) -> Option<ReplicaKey> {
        let full = usize::from(self.count) == MAX_HOLDERS;
        let displaced = full.then_some(self.all[0].key);
        if let Some(oldest) = displaced {
            self.remove(oldest);
        }
        self.all[usize::from(self.count)] = holder;
        self.count += 1;
        displaced
    }
}

/// The known state of one replica's cache.
#[derive(Debug, Default)]
struct ReplicaState {
    order: VecDeque<(u64, u32)>,
    last_seq: u64,
    held: u32,
    eviction_risk: f32,
}

/// Index from blocks to the replicas that probably cache them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: Map<u64, Holders>,
    replicas: Map<ReplicaKey, ReplicaState>,
    stamp: u32,
}

/// Whether `block` is in the sample.
const fn is_sampled(block: u64) -> bool {
    mix(block).is_multiple_of(SAMPLE_INTERVAL)
}

impl PrefixIndex {
    /// Applies one cache event of `key`. Each lost event may have evicted any earlier block.
    pub fn apply(&mut self, key: ReplicaKey, seq: u64, block: u64, stored: bool) {
        let state = self.replicas.entry(key).or_default();
        if state.last_seq != 0 && seq > state.last_seq + 1 {
            let lost = (seq - state.last_seq - 1) as f64;
            let held = u64::from(state.held.max(1)) * SAMPLE_INTERVAL;
            state.eviction_risk += (lost * EVICTION_FRACTION / held as f64) as f32;
        }
        state.last_seq = state.last_seq.max(seq);
        if stored {
            self.store(key, block);
        } else {
            self.evict(key, block);
        }
    }

    /// Records that `key` has computed or used `block`.
    pub fn store(&mut self, key: ReplicaKey, block: u64) {
        if !is_sampled(block) {
            return;
        }
        self.stamp = self.stamp.wrapping_add(1);
        let stamp = self.stamp;
        let state = self.replicas.entry(key).or_default();
        let fresh = Holder {
            key,
            stamp,
            eviction_risk: state.eviction_risk,
        };
        let holders = self.holders.entry(block).or_default();
        let known = holders.remove(key);
        let displaced = holders.push(fresh);
        if known {
            return;
        }
        state.held += 1;
        state.order.push_back((block, stamp));
        if let Some(state) = displaced.and_then(|key| self.replicas.get_mut(&key)) {
            state.held = state.held.saturating_sub(1);
        }
        self.trim(key);
    }

    /// Evicts the least recently used blocks of `key`, down to the bound.
    fn trim(&mut self, key: ReplicaKey) {
        let bound = (MAX_TOTAL_BLOCKS / self.replicas.len().max(1)).min(MAX_REPLICA_BLOCKS);
        while let Some(state) = self
            .replicas
            .get_mut(&key)
            .filter(|s| s.order.len() > bound)
        {
            let Some((block, stamp)) = state.order.pop_front() else {
                return;
            };
            match self
                .holders
                .get(&block)
                .and_then(|holders| holders.find(key))
            {
                Some(holder) if holder.stamp != stamp => {
                    state.order.push_back((block, holder.stamp));
                }
                _ => self.evict(key, block),
            }
        }
    }

    fn evict(&mut self, key: ReplicaKey, block: u64) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        let removed = holders.remove(key);
        if holders.count == 0 {
            self.holders.remove(&block);
        }
        if let Some(state) = self.replicas.get_mut(&key).filter(|_| removed) {
            state.held = state.held.saturating_sub(1);
        }
    }

    /// Removes `key`, whose memory is gone.
    pub fn remove_replica(&mut self, key: ReplicaKey) {
        let Some(state) = self.replicas.remove(&key) else {
            return;
        };
        for (block, _) in state.order {
            self.evict(key, block);
        }
    }

    /// Replicas that probably hold a long prefix of `blocks`.
    pub fn holders<'a>(&'a self, blocks: &[u64]) -> impl Iterator<Item = ReplicaKey> + use<'a> {
        let mut sampled = blocks.iter().rev().filter(|block| is_sampled(**block));
        let deepest = sampled.find_map(|block| self.holders.get(block));
        deepest
            .map_or(&[][..], Holders::as_slice)
            .iter()
            .map(|holder| holder.key)
    }

    /// Expected number of leading `blocks` that `key` holds.
    ///
    /// The prefix is assumed to end half way between the last sampled block that is held and the
    /// first that is not.
    pub fn expected(&self, key: ReplicaKey, blocks: &[u64]) -> f64 {
        let eviction_risk = self
            .replicas
            .get(&key)
            .map_or(0.0, |state| state.eviction_risk);
        let mut probability = 0.0_f64;
        let mut held = 0;
        let mut end = blocks.len();
        for (at, block) in blocks
            .iter()
            .enumerate()
            .filter(|(_, block)| is_sampled(**block))
        {
            let Some(holder) = self
                .holders
                .get(block)
                .and_then(|holders| holders.find(key))
            else {
                end = at;
                break;
            };
            probability = f64::from((holder.eviction_risk - eviction_risk).min(0.0)).exp();
            held = at + 1;
        }
        if held == 0 {
            return 0.0;
        }
        probability * usize::midpoint(held, end) as f64
    }
}
