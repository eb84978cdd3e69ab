//! Status of the poller: the daemon that reads the store for all daemons of its data centre.
//!
//! Calls of the store are paid for and limited, so only one daemon in each data centre polls it.
//! A daemon that gets no answer from it, or an outdated one, reads the store itself.

use std::time::Duration;

use relay::revision::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Maximum age of a usable status: a leaving replica must get no requests 2 s later, and a
/// requester notices only one period later.
const MAX_AGE: Duration = Duration::from_secs(1);

/// How current the plan and replicas of a daemon are, compared with the requester's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollerStatus {
    /// Version of the sender's plan; 0 if it has none.
    pub plan: u64,
    /// Store version of the sender's replicas; its era follows the datagram.
    #[serde(with = "version_only")]
    pub replicas: Revision,
    /// Whether the requester has the same replicas.
    pub same: bool,
    /// Milliseconds since the sender's replicas were read.
    age_ms: u64,
    /// Whether the sender's last call of the store failed.
    store_lost: bool,
    /// Whether the sender knows of an overloaded instance in its data centre.
    pub overloaded: bool,
}

impl PollerStatus {
    /// Creates the status of a daemon with this `plan`, whose `replicas` were read `age` ago.
    pub const fn new(
        plan: u64,
        replicas: Revision,
        same: bool,
        age: Duration,
        store_lost: bool,
        overloaded: bool,
    ) -> Self {
        Self {
            plan,
            replicas,
            same,
            age_ms: whole_ms(age),
            store_lost,
            overloaded,
        }
    }

    /// The status `time` later.
    #[must_use]
    pub const fn aged_by(mut self, time: Duration) -> Self {
        self.age_ms = self.age_ms.saturating_add(whole_ms(time));
        self
    }

    /// The status for a requester whose replicas have changed since its request. It must not
    /// confirm them: changes between them and the sender's would never be requested.
    #[must_use]
    pub const fn for_changed_list(mut self) -> Self {
        self.same = false;
        self
    }

    /// Time since the sender's replicas were read.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }

    /// Whether the sender is up to date enough to rely on, for a requester that knows of the era
    /// `era` of the store.
    pub fn is_fresh(&self, era: u64) -> bool {
        !self.store_lost && self.age() < MAX_AGE && self.replicas.era >= era
    }

    /// Whether the requester, whose replicas are of `known`, has the same ones. Equal lists of two
    /// eras may be followed by different changes.
    pub const fn confirms(&self, known: Revision) -> bool {
        self.same && self.replicas.era == known.era
    }
}

/// `time` in milliseconds, rounded up: a list must not seem newer than it is.
const fn whole_ms(time: Duration) -> u64 {
    time.as_nanos().div_ceil(1_000_000) as u64
}

/// A version without its era, as daemons of earlier versions send it.
mod version_only {
    use relay::revision::Revision;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(
        revision: &Revision,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(revision.version)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Revision, D::Error> {
        u64::deserialize(deserializer).map(|version| Revision::new(0, version))
    }
}
