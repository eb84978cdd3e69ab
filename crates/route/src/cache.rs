//! Where prefix blocks are probably cached, from late and gappy events.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::server::Key;

/// Blocks remembered for each replica.
const MAX_BLOCKS: usize = 8_192;
/// Holders remembered for each block, the latest ones.
const MAX_HOLDERS: usize = 4;
/// Blocks that a search for holders looks at.
const MAX_PROBES: usize = 12;
/// Part of all events that are evictions, once a cache is full.
const EVICTIONS: f64 = 0.5;

#[derive(Debug, Clone, Copy)]
struct Holder {
    key: Key,
    stamp: u64,
    doubt: f64,
}

/// What is known about the cache of one replica.
#[derive(Debug, Default)]
struct Track {
    order: VecDeque<(u64, u64)>,
    last_seq: u64,
    held: u32,
    doubt: f64,
}

/// An index from block to the replicas that probably cache it.
#[derive(Debug, Default)]
pub struct Cache {
    holders: HashMap<u64, Vec<Holder>>,
    tracks: HashMap<Key, Track>,
    stamp: u64,
}

impl Cache {
    /// Takes in one event of `key`; each event lost may have evicted any earlier block.
    pub fn apply(&mut self, key: Key, seq: u64, block: u64, stored: bool) {
        let track = self.tracks.entry(key).or_default();
        if track.last_seq != 0 && seq > track.last_seq + 1 {
            let lost = (seq - track.last_seq - 1) as f64;
            track.doubt += lost * EVICTIONS / f64::from(track.held.max(1));
        }
        track.last_seq = track.last_seq.max(seq);
        if stored {
            self.store(key, block);
        } else {
            self.evict(key, block);
        }
    }

    /// Notes that `key` has computed or used `block`.
    pub fn store(&mut self, key: Key, block: u64) {
        self.stamp += 1;
        let stamp = self.stamp;
        let track = self.tracks.entry(key).or_default();
        let fresh = Holder {
            key,
            stamp,
            doubt: track.doubt,
        };
        let holders = self.holders.entry(block).or_default();
        if let Some(holder) = holders.iter_mut().find(|holder| holder.key == key) {
            *holder = fresh;
            return;
        }
        holders.push(fresh);
        let displaced = (holders.len() > MAX_HOLDERS).then(|| holders.remove(0));
        track.held += 1;
        track.order.push_back((block, stamp));
        if let Some(track) = displaced.and_then(|holder| self.tracks.get_mut(&holder.key)) {
            track.held = track.held.saturating_sub(1);
        }
        self.trim(key);
    }

    /// Forgets the blocks of `key` that were used longest ago, down to the bound.
    fn trim(&mut self, key: Key) {
        while let Some(track) = self
            .tracks
            .get_mut(&key)
            .filter(|t| t.order.len() > MAX_BLOCKS)
        {
            let Some((block, stamp)) = track.order.pop_front() else {
                return;
            };
            let held = self
                .holders
                .get(&block)
                .and_then(|all| all.iter().find(|h| h.key == key));
            match held {
                Some(holder) if holder.stamp != stamp => {
                    track.order.push_back((block, holder.stamp));
                }
                _ => self.evict(key, block),
            }
        }
    }

    fn evict(&mut self, key: Key, block: u64) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        let before = holders.len();
        holders.retain(|holder| holder.key != key);
        let removed = (before - holders.len()) as u32;
        if holders.is_empty() {
            self.holders.remove(&block);
        }
        if let Some(track) = self.tracks.get_mut(&key) {
            track.held = track.held.saturating_sub(removed);
        }
    }

    /// Forgets everything about `key`, whose memory is gone.
    pub fn forget(&mut self, key: Key) {
        let Some(track) = self.tracks.remove(&key) else {
            return;
        };
        for (block, _) in track.order {
            self.evict(key, block);
        }
    }

    /// Replicas that probably hold a long prefix of `blocks`.
    pub fn holders(&self, blocks: &[u64]) -> impl Iterator<Item = Key> + '_ {
        let stride = blocks.len().div_ceil(MAX_PROBES).max(1);
        let deepest = blocks
            .iter()
            .rev()
            .step_by(stride)
            .find_map(|block| self.holders.get(block));
        deepest.into_iter().flatten().map(|holder| holder.key)
    }

    /// Expected number of leading `blocks` that `key` holds.
    pub fn expected(&self, key: Key, blocks: &[u64]) -> f64 {
        let doubt = self.tracks.get(&key).map_or(0.0, |track| track.doubt);
        let mut sum = 0.0;
        for block in blocks {
            let held = self
                .holders
                .get(block)
                .and_then(|all| all.iter().find(|h| h.key == key));
            let Some(holder) = held else {
                break;
            };
            sum += (holder.doubt - doubt).min(0.0).exp();
        }
        sum
    }
}
