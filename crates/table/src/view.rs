//! The table held by a daemon, and whether it is fresh enough to use.
//!
//! A view holds the highest generation that the daemon has received and the last time at which
//! that generation was confirmed to be the newest accepted one. The table may be used for one lease
//! after that time. Two sources confirm it:
//!
//! - *The store*, read linearizably by this daemon or by a peer that reports the age of its read
//!   ([`View::record_store_read`]).
//! - *A majority of the listed instances* ([`View::record_contact`]). An edit is accepted only
//!   after a majority has acknowledged its generation, and any two majorities share an instance. A
//!   daemon in contact with a majority therefore receives the generation of an accepted edit from
//!   at least one of them, provided that every contact includes the peer's generation
//!   ([`View::record_generation`]).
//!
//! Alternatives:
//!
//! - *Freshness by the store alone.* Simple, but an outage of the store longer than the lease
//!   stops every daemon, although no edit can be accepted during the outage.
//! - *No lease.* A daemon that is partitioned from the store and its peers, but still reached by
//!   callers, uses an old table for the whole partition.
//! - *Acceptance by every instance.* No lease is needed, but one dead instance that is still
//!   listed blocks every edit.
//!
//! With a lease and either source, a daemon partitioned from both stops within the lease; during an
//! outage of the store, with its peers reachable, it continues.
//!
//! Once a higher generation is known, neither source confirms the table until that generation is
//! accepted: the daemon catches up or stops within the lease. After its acceptance, an edit
//! therefore applies to every decision within one lease plus the window over which contacts are
//! counted.

use std::time::Duration;

use ident::Time;

use crate::Table;

/// Result of offering a table to a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// The view now holds this table.
    Accepted,
    /// The view already holds this generation.
    Same,
    /// The generation is lower than the one held; the table was dropped.
    Older,
}

/// The table held by a daemon, and its freshness.
#[derive(Debug, Clone)]
pub struct View {
    lease: Duration,
    table: Option<Table>,
    /// The highest known generation.
    highest: u64,
    /// The last time at which `table` was known to be the newest.
    confirmed: Option<Time>,
}

impl View {
    /// A view without a table; a confirmed table may be used for `lease`.
    pub const fn new(lease: Duration) -> Self {
        Self {
            lease,
            table: None,
            highest: 0,
            confirmed: None,
        }
    }

    /// Accepts `table` if its generation is higher than the one held.
    ///
    /// This does not confirm the table: it may come from a stale read.
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

    /// Records that `generation` exists: a peer or the store holds it.
    pub fn record_generation(&mut self, generation: u64) {
        self.highest = self.highest.max(generation);
    }

    /// Records that the store was read, linearizably, at most `age` ago.
    ///
    /// The generation that was read must be recorded first.
    pub fn record_store_read(&mut self, now: Time, age: Duration) {
        self.confirm(now - age);
    }

    /// Records contact with `in_contact` of the `listed` instances, both including this one.
    ///
    /// The generations that they reported must be recorded first.
    pub fn record_contact(&mut self, now: Time, in_contact: usize, listed: usize) {
        if in_contact * 2 > listed {
            self.confirm(now);
        }
    }

    /// Whether the table may be used at `now`.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < self.lease)
    }

    /// Time since the table was last known to be the newest; `None` if it never was.
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

    /// Whether a higher generation than the one held is known.
    pub fn is_behind(&self) -> bool {
        self.highest > self.generation()
    }

    fn confirm(&mut self, time: Time) {
        let is_newest = self.table.is_some() && !self.is_behind();
        if is_newest && self.confirmed.is_none_or(|confirmed| confirmed < time) {
            self.confirmed = Some(time);
        }
    }
}
