//! The waiting requests of one row.

use std::collections::BTreeSet;

use ident::Handle;
use ident::Time;

/// Waiting requests in two tiers: those that can still meet their target, and late ones.
#[derive(Debug, Default)]
pub struct Queue {
    on_time: BTreeSet<(Time, Handle)>,
    late: BTreeSet<(Time, Handle)>,
}

impl Queue {
    /// Adds a request with the sort key `order`.
    pub fn insert(&mut self, order: Time, handle: Handle) {
        self.on_time.insert((order, handle));
    }

    /// Removes a request; returns false if it was not waiting.
    pub fn remove(&mut self, order: Time, expiry: Time, handle: Handle) -> bool {
        self.on_time.remove(&(order, handle)) || self.late.remove(&(expiry, handle))
    }

    /// Moves a request to the late tier, ordered by `expiry`.
    pub fn demote(&mut self, order: Time, expiry: Time, handle: Handle) {
        self.on_time.remove(&(order, handle));
        self.late.insert((expiry, handle));
    }

    /// On-time requests, in order.
    pub fn on_time(&self) -> impl Iterator<Item = Handle> + '_ {
        self.on_time.iter().map(|(_, handle)| *handle)
    }

    /// Late requests, in order.
    pub fn late(&self) -> impl Iterator<Item = Handle> + '_ {
        self.late.iter().map(|(_, handle)| *handle)
    }

    /// The first waiting request, and whether it is late.
    pub fn head(&self) -> Option<(bool, Time, Handle)> {
        let on_time = self
            .on_time
            .first()
            .map(|(order, handle)| (false, *order, *handle));
        on_time.or_else(|| {
            self.late
                .first()
                .map(|(expiry, handle)| (true, *expiry, *handle))
        })
    }

    /// Waiting requests in order with whether they are late; late ones come last.
    pub fn iter(&self) -> impl Iterator<Item = (bool, Time, Handle)> + '_ {
        let on_time = self
            .on_time
            .iter()
            .map(|(order, handle)| (false, *order, *handle));
        let late = self
            .late
            .iter()
            .map(|(expiry, handle)| (true, *expiry, *handle));
        on_time.chain(late)
    }

    /// Number of late requests.
    pub fn late_len(&self) -> usize {
        self.late.len()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }
}
