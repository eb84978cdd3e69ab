//! What the reader of the store for a data centre tells the other daemons there.
//!
//! Calls of the store are paid for and bounded, so one daemon in each data centre reads it for all.
//! A daemon that gets no answer, or an old one, reads the store itself.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A status is of use up to this age; a replica that leaves must get nothing 2 s later, and the daemon
/// that asks learns of it one period later.
const MAX_AGE: Duration = Duration::from_secs(1);

/// How the teller's knowledge compares with the asker's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollerStatus {
    /// Version of the teller's plan; 0 if it has none.
    pub plan: u64,
    /// Version of the store at which the teller's replicas stand.
    pub replicas: u64,
    /// Whether the asker's replicas are the same.
    pub same: bool,
    /// Milliseconds since the teller's replicas were read.
    age_ms: u64,
    /// Whether the store fails the teller.
    store_lost: bool,
    /// Whether the teller heard from an overloaded instance of its data centre.
    pub overloaded: bool,
}

impl PollerStatus {
    /// The news of a daemon with this `plan`, whose `replicas` were read `age` ago.
    pub const fn new(
        plan: u64,
        replicas: u64,
        same: bool,
        age: Duration,
        store_lost: bool,
        overloaded: bool,
    ) -> Self {
        Self {
            plan,
            replicas,
            same,
            age_ms: age.as_millis() as u64,
            store_lost,
            overloaded,
        }
    }

    /// The same, heard up to `time` after it was told.
    #[must_use]
    pub const fn aged_by(mut self, time: Duration) -> Self {
        self.age_ms = self.age_ms.saturating_add(time.as_millis() as u64);
        self
    }

    /// The same for an asker whose replicas are others by now than those it asked about: they are not confirmed, or
    /// changes between them and the teller's would never be asked for.
    #[must_use]
    pub const fn for_changed_list(mut self) -> Self {
        self.same = false;
        self
    }

    /// Time since the teller's replicas were read.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }

    /// Whether the teller is a good source now.
    pub fn is_fresh(&self) -> bool {
        !self.store_lost && self.age() < MAX_AGE
    }
}
