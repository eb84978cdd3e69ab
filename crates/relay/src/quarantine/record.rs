//! What daemons know of one content under which replicas ended.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::Fingerprint;

/// Number of replicas that may end while running a content before it is quarantined. One or two may
/// end for unrelated reasons, and requests with it are sent again.
pub const LIMIT: usize = 3;
/// Maximum number of ends of one record: the earliest ones and the latest. More than [`LIMIT`], so
/// that a service that withdraws some of them leaves the same ones in whatever order records merge.
pub const MAX_ENDS: usize = 16;
/// Number of ends from which a record is kept in the store and compared between daemons: one more
/// quarantines the content.
const SUSPECT: usize = LIMIT - 1;
/// How long a record is kept after the last end. The request would crash replicas until the engines
/// are replaced, which takes operators a day.
pub const RECORD_TTL: Duration = Duration::from_hours(24);
/// Time after a content was served during which no end is attributed to it. A request that crashes
/// replicas is served nowhere, whereas one that many callers send at once runs on several replicas
/// that may end together, such as those of one rack. Also covers the clock difference between
/// daemons.
pub const SERVED_GRACE: Duration = Duration::from_mins(1);
/// Ends within this time may have one cause, such as a power failure.
pub const COMMON_CAUSE_TIME: Duration = Duration::from_secs(1);

/// Wall-clock time in milliseconds since the Unix epoch. Comparable between daemons, and advances
/// while a machine is suspended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// The time `time` later.
    #[must_use]
    pub const fn plus(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time.as_millis() as u64))
    }
}

/// The end of a replica while it was running a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Hash of the replica's id and start time, as in [`crate::server::Server::hash`].
    pub replica: u64,
    /// When a daemon recorded it.
    pub at: UnixMs,
}

/// Ends attributed to one content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The content.
    pub fingerprint: Fingerprint,
    /// Distinct replicas that ended, in order of time, at most [`MAX_ENDS`].
    pub ends: Vec<End>,
    /// When the content was last served, as far as known; zero if never.
    pub served: UnixMs,
}

impl Record {
    /// Creates a record without ends.
    pub const fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            ends: Vec::new(),
            served: UnixMs(0),
        }
    }

    /// Creates a record of the time at which the content was served.
    pub const fn served(fingerprint: Fingerprint, at: UnixMs) -> Self {
        Self {
            fingerprint,
            ends: Vec::new(),
            served: at,
        }
    }

    /// Whether [`LIMIT`] replicas ended. Quarantines a request; for parts, see
    /// [`crate::quarantine::Quarantine::withheld`].
    pub const fn is_quarantined(&self) -> bool {
        self.ends.len() >= LIMIT
    }

    /// Whether [`LIMIT`] replicas ended, or one fewer.
    pub const fn is_suspect(&self) -> bool {
        self.ends.len() >= SUSPECT
    }

    /// When the record expires.
    pub fn expires(&self) -> UnixMs {
        let last = self.ends.iter().map(|end| end.at).max();
        last.unwrap_or(self.served).plus(RECORD_TTL)
    }

    /// Whether a time in it is later than `latest`.
    pub fn is_dated_after(&self, latest: UnixMs) -> bool {
        self.served > latest || self.ends.iter().any(|end| end.at > latest)
    }

    pub(super) fn has(&self, replica: u64) -> bool {
        self.ends.iter().any(|end| end.replica == replica)
    }

    /// Whether all replicas in `other` are in this record, too.
    pub(super) fn covers(&self, other: &Self) -> bool {
        other.ends.iter().all(|end| self.has(end.replica))
    }

    /// Whether all replicas ended within [`COMMON_CAUSE_TIME`].
    pub(super) fn ended_together(&self) -> bool {
        let first = self.ends.first().map(|end| end.at).unwrap_or_default();
        let last = self.ends.last().map(|end| end.at).unwrap_or_default();
        last <= first.plus(COMMON_CAUSE_TIME)
    }

    /// Contribution to the hash that daemons compare. The identity of the ended replicas matters
    /// only while one more end would quarantine the content.
    pub(super) fn digest_part(&self) -> u64 {
        let replicas = self.ends.iter().map(|end| end.replica);
        match self {
            record if record.is_quarantined() => record.fingerprint.0,
            record if record.is_suspect() => {
                record.fingerprint.0 ^ replicas.fold(0, u64::wrapping_add)
            }
            _ => 0,
        }
    }

    /// Adds what `other` has in addition.
    pub(super) fn merge(&mut self, other: &Self) {
        self.served = self.served.max(other.served);
        for end in &other.ends {
            let mut known = self.ends.iter_mut();
            match known.find(|known| known.replica == end.replica) {
                Some(known) => known.at = known.at.min(end.at),
                None => self.ends.push(*end),
            }
        }
        let counted_after = self.served.plus(SERVED_GRACE);
        let served = self.served > UnixMs(0);
        self.ends.retain(|end| !served || end.at > counted_after);
        self.ends.sort_by_key(|end| (end.at, end.replica));
        if self.ends.len() > MAX_ENDS {
            let latest = self.ends.len() - 1;
            self.ends.drain(MAX_ENDS - 1..latest);
        }
    }
}
