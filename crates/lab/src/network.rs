//! Models delays between data centres and KV cache transfers over links of limited rate.

use std::collections::HashMap;
use std::time::Duration;

use ident::Time;

/// One-way delay inside a data centre.
const LOCAL: Duration = Duration::from_micros(150);
/// Rate at which one replica sends KV cache, in tokens per second.
const SEND_RATE: f64 = 40_000.0;
/// Rate of KV cache over the link between two data centres, in tokens per second.
const LINK_RATE: f64 = 30_000.0;
/// Fraction of its rate that a stalled link keeps.
const STALLED_FRACTION: f64 = 0.03;

/// Links between data centres and the senders' own links, each with the time until it is busy.
#[derive(Debug)]
pub struct Network {
    remote_delay: Duration,
    busy_until: HashMap<Path, Time>,
    stalled: Option<(usize, usize)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Path {
    Sender(usize),
    Link(usize, usize),
}

impl Network {
    /// A network with the one-way delay `remote_delay` between data centres.
    pub fn new(remote_delay: Duration) -> Self {
        Self {
            remote_delay,
            busy_until: HashMap::new(),
            stalled: None,
        }
    }

    /// One-way delay between two data centres.
    pub fn delay(&self, a: usize, b: usize) -> Duration {
        if a == b { LOCAL } else { self.remote_delay }
    }

    /// Stalls the link from the first to the second data centre; `None` restores it.
    pub fn stall(&mut self, link: Option<(usize, usize)>) {
        self.stalled = link;
    }

    /// Occupies the links and returns when a transfer of `tokens` by replica `sender` ends.
    pub fn transfer(
        &mut self,
        now: Time,
        sender: usize,
        zones: (usize, usize),
        tokens: u32,
    ) -> Time {
        let sent = self.occupy(now, Path::Sender(sender), f64::from(tokens) / SEND_RATE);
        if zones.0 == zones.1 {
            return sent + LOCAL;
        }
        let rate = if self.stalled == Some(zones) {
            LINK_RATE * STALLED_FRACTION
        } else {
            LINK_RATE
        };
        let path = Path::Link(zones.0, zones.1);
        let carried = self.occupy(now, path, f64::from(tokens) / rate);
        sent.max(carried) + self.remote_delay
    }

    fn occupy(&mut self, now: Time, path: Path, seconds: f64) -> Time {
        let free = self.busy_until.entry(path).or_insert(now);
        *free = (*free).max(now) + Duration::from_secs_f64(seconds);
        *free
    }
}
