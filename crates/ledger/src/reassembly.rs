//! Putting the pieces of a stream in order.

use std::collections::BTreeMap;

use bytes::Bytes;

/// Most pieces kept while an earlier one is missing.
pub const MAX_EARLY: usize = 64;

/// A run of tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRun {
    /// Index of the first token.
    pub offset: u32,
    /// Number of tokens.
    pub count: u32,
    /// Their text.
    pub text: Bytes,
}

/// What became of an arriving piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It, and perhaps earlier arrivals after it, can be delivered.
    Ready,
    /// It is kept until what is before it arrives.
    Early,
    /// All of it was delivered before.
    Repeated,
    /// It overlaps what was delivered, or too much waits: the stream must be read anew.
    Broken,
}

/// Delivers each token once and in order.
#[derive(Debug, Clone, Default)]
pub struct Reassembler {
    delivered: u32,
    early: BTreeMap<u32, TokenRun>,
}

impl Reassembler {
    /// A sequence whose first `delivered` tokens the caller already has.
    pub fn new(delivered: u32) -> Self {
        Self {
            delivered,
            early: BTreeMap::new(),
        }
    }

    /// Tokens delivered so far.
    pub const fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Takes a piece; what can be delivered now is appended to `out`.
    pub fn push(&mut self, run: TokenRun, out: &mut Vec<TokenRun>) -> Arrival {
        let end = run.offset.saturating_add(run.count);
        if end <= self.delivered {
            return Arrival::Repeated;
        }
        if run.offset < self.delivered {
            return Arrival::Broken;
        }
        if run.offset > self.delivered {
            return self.keep(run);
        }
        self.delivered = end;
        out.push(run);
        self.follow(out);
        Arrival::Ready
    }

    /// Forgets pieces that wait; the stream is read anew from `delivered`.
    pub fn reset(&mut self) {
        self.early.clear();
    }

    fn keep(&mut self, run: TokenRun) -> Arrival {
        if self.early.len() >= MAX_EARLY {
            return Arrival::Broken;
        }
        self.early.insert(run.offset, run);
        Arrival::Early
    }

    fn follow(&mut self, out: &mut Vec<TokenRun>) {
        while let Some(run) = self.early.remove(&self.delivered) {
            self.delivered = self.delivered.saturating_add(run.count);
            out.push(run);
        }
        if !self.early.is_empty() {
            self.early = self.early.split_off(&self.delivered);
        }
    }
}
