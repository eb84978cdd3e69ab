//! Which software versions serve.

use std::time::Duration;

use ident::Time;

use crate::pool::Pool;
use crate::pool::history::History;

/// How long a replica may begin streams after its entry was removed: it serves on for a while, and is
/// still listed at daemons that are late.
const UNLISTED_SERVICE: Duration = Duration::from_secs(30);

impl Pool {
    /// Records that the whole system starts for the first time: no stream began before. The list may
    /// have been read meanwhile.
    pub fn note_first_start(&mut self) {
        if self.history == History::Followed {
            self.history = History::Complete;
        }
    }

    /// Records that, until `now`, no version but `software` has served `service` for as long as a
    /// stream can be resumed.
    pub fn vouch_version(&mut self, now: Time, service: &str, software: String) {
        self.vouched.insert(service.to_owned(), (software, now));
    }

    /// The only software version that served `service` throughout the last `period`. `None` if there
    /// were several, or if this daemon cannot exclude it: it has not followed the list for so long and
    /// for what a replica serves unlisted, and no record shows what was before.
    pub fn only_version(&self, now: Time, service: &str, period: Duration) -> Option<&str> {
        let read_since = self.outdated_at.filter(|_| !self.is_outdated(now))?;
        let followed_since = read_since.max(self.unseen_at.unwrap_or_default());
        let recent = period + UNLISTED_SERVICE;
        let only = self.versions.only(now, service, recent)?;
        // Other daemons may list them.
        let mut withheld = self.withheld.values().filter(|r| r.service == service);
        if withheld.any(|replica| replica.software.as_deref() != Some(only)) {
            return None;
        }
        let is_complete = self.history == History::Complete;
        // What left just before may have begun streams for as long as what left since.
        let is_followed = now.since(followed_since) >= recent || is_complete;
        (is_followed || self.is_vouched(service, only, followed_since)).then_some(only)
    }

    /// The only version that can have begun a stream of `service` before `asked_at`: a replica is listed
    /// before it gets a stream, so the list has to reflect the store as of that time or later.
    pub fn only_version_at(
        &self,
        now: Time,
        service: &str,
        period: Duration,
        asked_at: Time,
    ) -> Option<&str> {
        // The stream could be resumed when the question arrived.
        let period = period + now.since(asked_at);
        let only = self.only_version(now, service, period);
        only.filter(|_| self.current_at >= asked_at)
    }

    /// Whether all replicas of `service` that this daemon knew within `period` had one software version.
    pub fn has_seen_one_version(&self, now: Time, service: &str, period: Duration) -> bool {
        let recent = period + UNLISTED_SERVICE;
        self.versions.only(now, service, recent).is_some()
    }

    /// Whether the known replicas of `service` have one software version.
    pub fn has_one_version(&self, service: &str) -> bool {
        let now = self.refreshed_at.unwrap_or_default();
        self.versions.only(now, service, Duration::ZERO).is_some()
    }

    /// Whether `software` is recorded as the only version before a time since which this daemon has
    /// followed the list without a gap.
    fn is_vouched(&self, service: &str, software: &str, followed_since: Time) -> bool {
        let vouched = self.vouched.get(service);
        vouched.is_some_and(|(only, at)| only == software && *at >= followed_since)
    }

    /// Whether a replica of `service` that is not draining has the software version `software`.
    pub fn serves_version(&self, service: &str, software: &str) -> bool {
        self.versions.serves(service, software)
    }
}
