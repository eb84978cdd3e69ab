//! What this daemon does about the table.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use ledger::ids::QueryId;

use crate::edition::Edition;

/// What this daemon does about the table.
#[derive(Debug)]
pub(crate) struct Desk {
    pub(crate) reading: Option<(QueryId, Time)>,
    /// When the store was last proved to hold this generation, here or by whoever told.
    pub(crate) proved: Option<Time>,
    /// What each instance last told.
    pub(crate) told: BTreeMap<Instance, Heard>,
    pub(crate) editions: BTreeMap<u64, Edition>,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Heard {
    pub(crate) generation: u64,
    pub(crate) at: Time,
    pub(crate) settled: Option<Time>,
}

impl Desk {
    pub(crate) const fn new() -> Self {
        Self {
            reading: None,
            proved: None,
            told: BTreeMap::new(),
            editions: BTreeMap::new(),
        }
    }

    /// Whether the store was proved to hold nothing newer at or after `since`.
    pub(crate) fn proved_since(&self, since: Time) -> bool {
        self.proved.is_some_and(|proved| proved >= since)
    }

    /// How long ago the store was last proved to hold nothing newer.
    pub(crate) fn store_age(&self, now: Time) -> Option<Duration> {
        self.proved.map(|proved| now.since(proved))
    }

    pub(crate) fn generation_told(&self, instance: Instance) -> Option<u64> {
        self.told.get(&instance).map(|heard| heard.generation)
    }
}
