//! Expected transfer times of KV caches between data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Zone;

use crate::rate::Ewma;

/// Weight of one sample.
const WEIGHT: f64 = 0.2;

#[derive(Debug, Clone, Copy)]
struct Link {
    per_token: Ewma,
    pending: u64,
}

/// Transfer times, learned for each pair of source and target data centre.
#[derive(Debug)]
pub struct Links {
    links: BTreeMap<(Zone, Zone), Link>,
    initial: f64,
}

impl Links {
    /// No link known; each starts at `initial` seconds a token.
    pub const fn new(initial: f64) -> Self {
        Self {
            links: BTreeMap::new(),
            initial,
        }
    }

    fn link(&mut self, pair: (Zone, Zone)) -> &mut Link {
        let per_token = Ewma::new(self.initial, WEIGHT);
        self.links.entry(pair).or_insert(Link {
            per_token,
            pending: 0,
        })
    }

    /// Expected time to move the KV cache of `tokens`.
    pub fn expected(&self, pair: (Zone, Zone), tokens: u32) -> Duration {
        let per_token = self
            .links
            .get(&pair)
            .map_or(self.initial, |link| link.per_token.value());
        Duration::from_secs_f64(per_token * f64::from(tokens))
    }

    /// Notes that a transfer of `tokens` began.
    pub fn begin(&mut self, pair: (Zone, Zone), tokens: u32) {
        self.link(pair).pending += u64::from(tokens);
    }

    /// Notes that a transfer of `tokens` ended after `took`, if it completed.
    pub fn end(&mut self, pair: (Zone, Zone), tokens: u32, took: Option<Duration>) {
        let link = self.link(pair);
        link.pending = link.pending.saturating_sub(u64::from(tokens));
        if let Some(took) = took {
            link.per_token
                .add(took.as_secs_f64() / f64::from(tokens.max(1)));
        }
    }
}
