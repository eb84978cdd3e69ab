//! Reassembles a token stream from runs that arrive out of order.

use std::collections::BTreeMap;

use bytes::Bytes;

/// Most runs stored while an earlier one is missing.
pub const MAX_EARLY: usize = 64;

/// Consecutive tokens of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRun {
    /// Index of the first token.
    pub offset: u32,
    /// Number of tokens.
    pub count: u32,
    /// Their text.
    pub text: Bytes,
}

/// How an arriving run was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It can be delivered, perhaps together with stored runs that follow it.
    Ready,
    /// It is stored until the runs before it arrive.
    Early,
    /// It had been delivered completely.
    Repeated,
    /// It overlaps delivered tokens, or too many runs are stored: the stream must be read again.
    Broken,
}

/// Delivers each token exactly once and in order.
#[derive(Debug, Clone, Default)]
pub struct Reassembler {
    delivered: u32,
    early: BTreeMap<u32, TokenRun>,
}

impl Reassembler {
    /// A reassembler for a stream whose first `delivered` tokens the caller already has.
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

    /// Accepts a run; runs that can be delivered now are appended to `out`.
    pub fn push(&mut self, run: TokenRun, out: &mut Vec<TokenRun>) -> Arrival {
        let end = run.offset.saturating_add(run.count);
        if end <= self.delivered {
            return Arrival::Repeated;
        }
        if run.offset < self.delivered {
            return Arrival::Broken;
        }
        if run.offset > self.delivered {
            return self.store_early(run);
        }
        self.delivered = end;
        out.push(run);
        self.deliver_early(out);
        Arrival::Ready
    }

    /// Drops stored runs, before the stream is read again from `delivered`.
    pub fn reset(&mut self) {
        self.early.clear();
    }

    fn store_early(&mut self, run: TokenRun) -> Arrival {
        if self.early.len() >= MAX_EARLY {
            return Arrival::Broken;
        }
        self.early.insert(run.offset, run);
        Arrival::Early
    }

    fn deliver_early(&mut self, out: &mut Vec<TokenRun>) {
        while let Some(run) = self.early.remove(&self.delivered) {
            self.delivered = self.delivered.saturating_add(run.count);
            out.push(run);
        }
        if !self.early.is_empty() {
            self.early = self.early.split_off(&self.delivered);
        }
    }
}
