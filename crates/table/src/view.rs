//! What a daemon may decide by.
//!
//! A view holds the highest generation that the daemon has seen and the latest point at which
//! that generation was known to be the newest one accepted. It may be decided by for one lease
//! from that point on. Two sources move the point:
//!
//! - *The store*, read linearizably by this daemon or by a peer that tells how long ago
//!   ([`View::record_store_read`]).
//! - *A majority of the listed instances* ([`View::record_contact`]). An edit is accepted only after a
//!   majority of them have acknowledged its generation, and any two majorities share an instance.
//!   A daemon in contact with a majority therefore hears of an accepted edit from at least one of
//!   them, provided that every contact also tells the peer's generation ([`View::record_generation`]).
//!
//! Ways that were weighed:
//!
//! - *Freshness by the store alone.* Simple, but an outage of the store longer than the lease
//!   stops every daemon, though no edit can be accepted in it.
//! - *No lease.* A daemon that is cut off from the store and its peers, yet still reached by
//!   callers, decides by an old table for as long as the cut lasts.
//! - *Acceptance gated by every instance.* No lease is needed, but one dead instance that is still
//!   listed holds up every edit.
//! - *Lease with either source* (taken). Cut off from both, a daemon stops within the lease; in an
//!   outage of the store, with its peers in reach, it goes on.
//!
//! Once a higher generation is announced, neither source moves the point until that generation is
//! taken: the daemon catches up or stops within the lease. An edit thus governs every decision at
//! the latest one lease plus the window over which contacts are counted after its acceptance.

use std::time::Duration;

use ident::Time;

use crate::Table;

/// What became of a table that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// It is the one to decide by now.
    Accepted,
    /// Its generation is the one held.
    Same,
    /// Its generation is lower than the one held; it was dropped.
    Older,
}

/// The table held by a daemon, and how fresh it is.
#[derive(Debug, Clone)]
pub struct View {
    lease: Duration,
    table: Option<Table>,
    /// The highest generation that is known to exist.
    highest: u64,
    /// The latest point at which `table` was known to be the newest.
    confirmed: Option<Time>,
}

impl View {
    /// A view without a table; one that was confirmed may be decided by for `lease`.
    pub const fn new(lease: Duration) -> Self {
        Self {
            lease,
            table: None,
            highest: 0,
            confirmed: None,
        }
    }

    /// Takes `table` unless its generation is lower than the one held.
    ///
    /// A table does not confirm itself: it may come from a stale read.
    pub fn offer(&mut self, _now: Time, table: Table) -> OfferResult {
        let held = self.table.as_ref().map(|held| held.generation);
        match held {
            Some(held) if table.generation < held => OfferResult::Older,
            Some(held) if table.generation == held => OfferResult::Same,
            _ => {
                self.highest = self.highest.max(table.generation);
                self.table = Some(table);
                OfferResult::Accepted
            }
        }
    }

    /// Notes that `generation` exists: a peer holds it, or the store shows it.
    pub fn record_generation(&mut self, generation: u64) {
        self.highest = self.highest.max(generation);
    }

    /// Notes that the store was read, linearizably, at most `age` ago.
    ///
    /// The generation that was read must be announced first.
    pub fn record_store_read(&mut self, now: Time, age: Duration) {
        self.confirm(now - age);
    }

    /// Notes that `heard` of the `known` listed instances, both counting this one, are in contact.
    ///
    /// The generations that they told must be announced first.
    pub fn record_contact(&mut self, now: Time, heard: usize, known: usize) {
        if heard * 2 > known {
            self.confirm(now);
        }
    }

    /// Whether the table may be decided by at `now`.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < self.lease)
    }

    /// How long ago the table was last known to be the newest; `None` if it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.table.as_ref()?;
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// The table held.
    pub const fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// The generation held; 0 if there is no table.
    pub fn generation(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.generation)
    }

    /// Whether a higher generation than the one held is known to exist.
    pub fn is_behind(&self) -> bool {
        self.highest > self.generation()
    }

    fn confirm(&mut self, point: Time) {
        let counts = self.table.is_some() && !self.is_behind();
        if counts && self.confirmed.is_none_or(|confirmed| confirmed < point) {
            self.confirmed = Some(point);
        }
    }
}
