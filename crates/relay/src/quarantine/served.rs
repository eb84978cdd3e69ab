//! Remembers what was served lately.

use std::collections::HashMap;
use std::mem;

use crate::fingerprint::Fingerprint;
use crate::quarantine::record::SERVED_GRACE;
use crate::quarantine::record::UnixMs;

/// Maximum number of contents in one generation. A busy daemon serves 30 requests a second, each with
/// two parts of its prompt, for [`SERVED_GRACE`].
const MAX_CONTENTS: usize = 8_192;

/// Requests and parts of prompts that were served lately. Contents move to the older generation
/// together and are then forgotten, unless they are served again.
#[derive(Debug, Default)]
pub struct Served {
    newer: HashMap<Fingerprint, UnixMs>,
    older: HashMap<Fingerprint, UnixMs>,
    /// When the newer generation began.
    begun: UnixMs,
}

impl Served {
    /// Records that `fingerprint` was served.
    pub fn insert(&mut self, now: UnixMs, fingerprint: Fingerprint) {
        if now > self.begun.plus(SERVED_GRACE) || self.newer.len() >= MAX_CONTENTS {
            self.older = mem::take(&mut self.newer);
            self.begun = now;
        }
        self.newer.insert(fingerprint, now);
    }

    /// When `fingerprint` was served last, as far as remembered.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<UnixMs> {
        let newer = self.newer.get(&fingerprint);
        newer.or_else(|| self.older.get(&fingerprint)).copied()
    }
}
