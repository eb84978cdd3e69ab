//! A fast hash for keys that are already hashes or counters.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

/// An odd number with evenly distributed bits (2^64 divided by the golden ratio).
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A hash map that uses [`Mix`].
pub type Map<K, V> = HashMap<K, V, BuildHasherDefault<Mix>>;

/// A hasher that multiplies and folds each word.
#[derive(Debug, Default, Clone, Copy)]
pub struct Mix(u64);

/// Distributes the bits of `word` over the whole result.
pub const fn mix(word: u64) -> u64 {
    let product = (word as u128) * (MULTIPLIER as u128);
    (product as u64) ^ ((product >> 64) as u64)
}

impl Hasher for Mix {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, word: u32) {
        self.write_u64(u64::from(word));
    }

    fn write_u64(&mut self, word: u64) {
        self.0 = mix(self.0.rotate_left(5) ^ word ^ MULTIPLIER);
    }
}
