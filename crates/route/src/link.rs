//! Estimates transfer times of KV caches between data centres.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Handle;
use ident::Time;
use ident::Zone;

use crate::hash::Map;
use crate::rate::Ewma;

/// Weight of one sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time after which a link's deviation from the typical time counts half, in seconds.
const HALF_LIFE_S: f64 = 30.0;

/// Pause after the last slow transfer over a link before it is probed if there is no other link.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Limits one sample to this multiple of the typical time, so that a stall does not distort it.
const MAX_SAMPLE_RATIO: f64 = 2.0;

/// Source and destination data centre.
pub type Path = (Zone, Zone);

#[derive(Debug)]
struct Link {
    per_token: Ewma,
    updated: Time,
    pending: BTreeSet<(Time, Handle, u32)>,
}

/// Learned transfer times for each path.
#[derive(Debug)]
pub struct Links {
    links: Map<Path, Link>,
    typical: Ewma,
}

impl Links {
    /// Starts without links; each link starts at `initial` seconds per token.
    pub fn new(initial: f64) -> Self {
        Self {
            links: Map::default(),
            typical: Ewma::new(initial, SAMPLE_WEIGHT / 4.0),
        }
    }

    /// Expected time to transfer the KV cache of `tokens` tokens over `path`.
    ///
    /// A pending transfer that takes longer than expected raises the estimate at once.
    pub fn expected(&self, now: Time, path: Path, tokens: u32) -> Duration {
        let typical = self.typical.value();
        let per_token = self
            .links
            .get(&path)
            .map_or(typical, |link| link.estimate(now, typical));
        Duration::from_secs_f64(per_token * f64::from(tokens))
    }

    /// Whether a slow `path` may be probed: at most once in [`PROBE_AFTER`].
    pub fn may_probe(&self, now: Time, path: Path) -> bool {
        let link = self.links.get(&path);
        link.is_none_or(|link| {
            let begun = link
                .pending
                .last()
                .map_or(Time::ZERO, |(begun, _, _)| *begun);
            now.since(link.updated.max(begun)) >= PROBE_AFTER
        })
    }

    /// Expected time to transfer the KV cache of `tokens` tokens over any path.
    pub fn typical(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.typical.value() * f64::from(tokens))
    }

    /// Records the start of a transfer.
    pub fn begin(&mut self, now: Time, path: Path, handle: Handle, tokens: u32) {
        let initial = self.typical.value();
        let link = self.links.entry(path).or_insert_with(|| Link {
            per_token: Ewma::new(initial, SAMPLE_WEIGHT),
            updated: now,
            pending: BTreeSet::new(),
        });
        link.pending.insert((now, handle, tokens));
    }

    /// Records the end of the transfer that began at `begun`; a failed one counts if it was slow.
    pub fn end(&mut self, now: Time, path: Path, begun: (Time, Handle, u32), completed: bool) {
        let typical = self.typical.value();
        let Some(link) = self.links.get_mut(&path) else {
            return;
        };
        if !link.pending.remove(&begun) {
            return;
        }
        let sample = now.since(begun.0).as_secs_f64() / f64::from(begun.2.max(1));
        let estimate = link.estimate(now, typical);
        if completed || sample > estimate {
            link.per_token = Ewma::new(estimate, SAMPLE_WEIGHT);
            link.per_token.add(sample);
            link.updated = now;
        }
        if completed {
            self.typical.add(sample.min(typical * MAX_SAMPLE_RATIO));
        }
    }
}

impl Link {
    fn estimate(&self, now: Time, typical: f64) -> f64 {
        let weight = 1.0 / (1.0 + now.since(self.updated).as_secs_f64() / HALF_LIFE_S);
        let learned = typical + (self.per_token.value() - typical) * weight;
        let oldest = self.pending.first().map_or(0.0, |(begun, _, tokens)| {
            now.since(*begun).as_secs_f64() / f64::from((*tokens).max(1))
        });
        learned.max(oldest)
    }
}
