//! Links between daemons, replicas and the store: cuts, losses and delays.

use std::collections::BTreeMap;

use ident::Time;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A link between two parties, by their indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// Between two daemons, the lower index first.
    Peers(usize, usize),
    /// Between a daemon and the store.
    Store(usize),
    /// Between a daemon and a replica.
    Replica(usize, usize),
}

impl Link {
    /// Returns the link between daemons `a` and `b`.
    pub fn peers(a: usize, b: usize) -> Self {
        Self::Peers(a.min(b), a.max(b))
    }
}

/// State of all links.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeMap<Link, Time>,
    /// End of the time in which more frames are lost, duplicated and late.
    pub unreliable_until: Time,
}

impl Network {
    /// Percentage of frames lost, and of frames duplicated, without a network fault.
    const NORMAL_PERCENT: u32 = 2;
    /// The same during [`Fault::UnreliableNetwork`](super::plan::Fault::UnreliableNetwork).
    const UNRELIABLE_PERCENT: u32 = 30;

    /// Cuts `link` until `end`, or longer if it is already cut for longer.
    pub fn cut(&mut self, link: Link, end: Time) {
        let until = self.cuts.entry(link).or_insert(end);
        *until = end.max(*until);
    }

    /// Whether `link` is cut.
    pub fn is_cut(&self, now: Time, link: Link) -> bool {
        self.cuts.get(&link).is_some_and(|end| now < *end)
    }

    /// Ends all network faults.
    pub fn end_faults(&mut self) {
        self.cuts.clear();
        self.unreliable_until = Time::ZERO;
    }

    /// Returns the delay of each copy of a frame in microseconds; empty if the frame is lost.
    pub fn copy_delays(&self, now: Time, rng: &mut Pcg64Mcg) -> Vec<u64> {
        let percent = if now < self.unreliable_until {
            Self::UNRELIABLE_PERCENT
        } else {
            Self::NORMAL_PERCENT
        };
        let mut copies = Vec::new();
        if !rng.random_ratio(percent, 100) {
            copies.push(Self::frame_delay(percent, rng));
        }
        if rng.random_ratio(percent, 100) {
            copies.push(Self::frame_delay(percent, rng));
        }
        copies
    }

    fn frame_delay(percent: u32, rng: &mut Pcg64Mcg) -> u64 {
        if rng.random_ratio(percent, 100) {
            rng.random_range(1_000..600_000)
        } else {
            rng.random_range(300..3_000)
        }
    }
}
