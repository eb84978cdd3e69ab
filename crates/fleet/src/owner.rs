//! Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
//! section 3: highest random weight).
//!
//! Each key belongs to the member with the highest weight for it. When a member leaves, only its
//! own keys move, each to the runner-up.

use std::cmp::Reverse;

use ident::Instance;

/// The owner of `key` among `candidates`.
pub fn choose(key: u64, candidates: impl Iterator<Item = Instance>) -> Option<Instance> {
    candidates.max_by_key(|instance| (weight(key, *instance), *instance))
}

/// The first `count` of `candidates` for `key`: the owner, followed by its successors in order.
pub fn rank(key: u64, candidates: impl Iterator<Item = Instance>, count: usize) -> Vec<Instance> {
    let mut all: Vec<Instance> = candidates.collect();
    all.sort_unstable_by_key(|instance| Reverse((weight(key, *instance), *instance)));
    all.truncate(count);
    all
}

/// The weight of `instance` for `key`, the same in every process.
fn weight(key: u64, instance: Instance) -> u64 {
    mix(mix(key) ^ instance.0)
}

/// The finaliser of `SplitMix64`, with its increment.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
