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
/// Chance that a block is still cached after its replica lost events once.
const GAP_TRUST: f64 = 0.8;

#[derive(Debug, Clone, Copy)]
struct Holder {
    key: Key,
    gaps: u32,
}

#[derive(Debug, Default)]
struct Track {
    order: VecDeque<u64>,
    last_seq: u64,
    gaps: u32,
}

/// An index from block to the replicas that probably cache it.
#[derive(Debug, Default)]
pub struct Cache {
    holders: HashMap<u64, Vec<Holder>>,
    tracks: HashMap<Key, Track>,
}

impl Cache {
    /// Takes in one event of `key`; a jump in `seq` lowers the trust in all earlier blocks.
    pub fn apply(&mut self, key: Key, seq: u64, block: u64, stored: bool) {
        let track = self.tracks.entry(key).or_default();
        if track.last_seq != 0 && seq > track.last_seq + 1 {
            track.gaps += 1;
        }
        track.last_seq = track.last_seq.max(seq);
        if stored {
            self.store(key, block);
        } else {
            self.evict(key, block);
        }
    }

    /// Notes that `key` has computed `block`.
    pub fn store(&mut self, key: Key, block: u64) {
        let track = self.tracks.entry(key).or_default();
        let gaps = track.gaps;
        let holders = self.holders.entry(block).or_default();
        match holders.iter_mut().find(|holder| holder.key == key) {
            Some(holder) => {
                holder.gaps = gaps;
                return;
            }
            None => holders.push(Holder { key, gaps }),
        }
        if holders.len() > MAX_HOLDERS {
            holders.remove(0);
        }
        track.order.push_back(block);
        if track.order.len() <= MAX_BLOCKS {
            return;
        }
        if let Some(oldest) = track.order.pop_front() {
            self.evict(key, oldest);
        }
    }

    fn evict(&mut self, key: Key, block: u64) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        holders.retain(|holder| holder.key != key);
        if holders.is_empty() {
            self.holders.remove(&block);
        }
    }

    /// Forgets everything about `key`, whose memory is gone.
    pub fn forget(&mut self, key: Key) {
        let Some(track) = self.tracks.remove(&key) else {
            return;
        };
        for block in track.order {
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
        let gaps = self.tracks.get(&key).map_or(0, |track| track.gaps);
        let mut sum = 0.0;
        for block in blocks {
            let held = self
                .holders
                .get(block)
                .and_then(|all| all.iter().find(|h| h.key == key));
            let Some(holder) = held else {
                break;
            };
            sum += GAP_TRUST.powf(f64::from(gaps.saturating_sub(holder.gaps)));
        }
        sum
    }
}
