//! Who reaches whom, and how late.

use std::collections::BTreeMap;

use ident::Time;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A way between two parties, by their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// Between two daemons, the lower number first.
    Peers(usize, usize),
    /// Between a daemon and the store.
    Store(usize),
    /// Between a daemon and a replica.
    Replica(usize, usize),
}

impl Link {
    /// The way between daemons `a` and `b`.
    pub fn peers(a: usize, b: usize) -> Self {
        Self::Peers(a.min(b), a.max(b))
    }
}

/// The network.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeMap<Link, Time>,
    /// Until when frames fare badly.
    pub unreliable_until: Time,
}

impl Network {
    /// Percentage of frames lost, and of frames doubled, in fair weather.
    const NORMAL_PERCENT: u32 = 2;
    /// The same in a storm.
    const UNRELIABLE_PERCENT: u32 = 30;

    /// Cuts `way` until `end`.
    pub fn cut(&mut self, link: Link, end: Time) {
        let until = self.cuts.entry(link).or_insert(end);
        *until = end.max(*until);
    }

    /// Whether `way` is cut.
    pub fn is_cut(&self, now: Time, link: Link) -> bool {
        self.cuts.get(&link).is_some_and(|end| now < *end)
    }

    /// Ends every fault.
    pub fn end_faults(&mut self) {
        self.cuts.clear();
        self.unreliable_until = Time::ZERO;
    }

    /// The delays in microseconds after which copies of one frame arrive; none if it is lost.
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
