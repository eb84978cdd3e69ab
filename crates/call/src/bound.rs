//! Bounds on what a peer may send, and how often one ended an answer.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static REACHED: [AtomicU64; Bound::ALL.len()] = [const { AtomicU64::new(0) }; Bound::ALL.len()];

/// A bound on the bytes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// On bytes that are no answer.
    Overhead,
    /// On the body of one answer.
    Body,
    /// On the bodies of all answers that are being read.
    Memory,
    /// On one line of a stream.
    Line,
}

impl Bound {
    /// All bounds.
    pub const ALL: [Self; 4] = [Self::Overhead, Self::Body, Self::Memory, Self::Line];

    /// Its name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overhead => "overhead",
            Self::Body => "body",
            Self::Memory => "memory",
            Self::Line => "line",
        }
    }

    /// How many answers it has ended in this process.
    pub fn reached(self) -> u64 {
        REACHED[self as usize].load(Ordering::Relaxed)
    }

    /// Logs and counts that it ended the answer of `peer` after `bytes`.
    pub fn record(self, peer: SocketAddr, bytes: usize) {
        REACHED[self as usize].fetch_add(1, Ordering::Relaxed);
        let peer = peer.to_string();
        log::warn!(step = "bound", peer = peer.as_str(), bound = self.as_str(), bytes = bytes as u64; "an answer was given up");
    }
}
