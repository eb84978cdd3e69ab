//! Whether this daemon can open connections to the replicas of a service.
//!
//! A replica that cannot be reached has failed, and so may several in a row have: the store lists
//! replicas for seconds after they ended. If none of many random replicas can be reached, either all
//! of them have failed or this daemon is partitioned from them. Only peers can tell which, so no
//! conclusion about the replicas is drawn meanwhile.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use ident::Time;

use crate::server::Key;

/// Number of replicas in a row, with those probed, that have to be unreached for their service to be
/// unreachable; fewer if fewer can be sent requests.
pub const MIN_UNREACHED: usize = 3;
/// Time after which a failure to connect is no longer evidence.
const EVIDENCE_AGE: Duration = Duration::from_secs(3);

/// Reachability of the services.
#[derive(Debug, Default)]
pub struct Reach {
    services: HashMap<String, Evidence>,
}

/// What is known of one service.
#[derive(Debug, Default)]
struct Evidence {
    /// Replicas that were not reached since another one was, and when.
    unreached: BTreeMap<Key, Time>,
    /// Whether this daemon suspects for another reason that it does not reach the service.
    is_doubted: bool,
    /// Since when the service is unreachable.
    lost_at: Option<Time>,
}

/// A change of the reachability of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is unreachable.
    Lost {
        /// Number of replicas that were not reached.
        unreached: usize,
        /// Time since the first of them was not reached.
        since: Duration,
    },
    /// It is reachable again.
    Restored {
        /// For how long it was unreachable.
        after: Duration,
    },
}

impl Reach {
    /// All services are reachable.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that no connection to the replica `key` of `service` could be opened.
    pub fn record_unreached(&mut self, now: Time, service: &str, key: Key) {
        let evidence = self.services.entry(service.to_owned()).or_default();
        let unreached = &mut evidence.unreached;
        unreached.retain(|_, at| now.since(*at) < EVIDENCE_AGE);
        unreached.insert(key, now);
    }

    /// Records that a connection to a replica of `service` was opened. A service that is unreachable
    /// stays so until [`Self::record_probes`]: a few of its replicas may be reachable.
    pub fn record_reached(&mut self, service: &str) {
        let evidence = self.services.get_mut(service);
        if let Some(evidence) = evidence.filter(|evidence| evidence.lost_at.is_none()) {
            evidence.unreached.clear();
            evidence.is_doubted = false;
        }
    }

    /// Records that `reached` of `probed` random replicas of `service` accepted a connection, of the
    /// `replicas` that can be sent requests; [`MIN_UNREACHED`] also stands for more. The service is
    /// unreachable if none did, and reachable again if most of them did.
    pub fn record_probes(
        &mut self,
        now: Time,
        service: &str,
        reached: usize,
        probed: usize,
        replicas: usize,
    ) -> Option<Change> {
        let evidence = self.services.get_mut(service)?;
        evidence.is_doubted = false;
        if evidence.lost_at.is_none() {
            let unreached = &mut evidence.unreached;
            unreached.retain(|_, at| reached == 0 && now.since(*at) < EVIDENCE_AGE);
            let first = unreached.values().min().copied().unwrap_or(now);
            // Without a replica to probe, the failures show nothing of the path.
            if probed == 0 || unreached.len() < MIN_UNREACHED.min(replicas).max(1) {
                return None;
            }
            evidence.lost_at = Some(now);
            return Some(Change::Lost {
                unreached: unreached.len(),
                since: now.since(first),
            });
        }
        if reached * 2 <= probed {
            return None;
        }
        evidence.unreached.clear();
        let lost_at = evidence.lost_at.take()?;
        Some(Change::Restored {
            after: now.since(lost_at),
        })
    }

    /// Suspects that `service` is unreachable although no connection to it has failed.
    pub fn doubt(&mut self, service: &str) {
        let evidence = self.services.entry(service.to_owned()).or_default();
        evidence.is_doubted = true;
    }

    /// Whether no replica of `service` has been reached since one was not.
    pub fn is_doubtful(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(Evidence::is_open)
    }

    /// Whether `service` is unreachable.
    pub fn is_lost(&self, service: &str) -> bool {
        let evidence = self.services.get(service);
        evidence.is_some_and(|evidence| evidence.lost_at.is_some())
    }

    /// Replicas of `service` that were not reached since another one was.
    pub fn unreached(&self, service: &str) -> impl Iterator<Item = Key> {
        let evidence = self.services.get(service).into_iter();
        evidence.flat_map(|evidence| evidence.unreached.keys().copied())
    }

    /// Services whose replicas have to be probed.
    pub fn doubtful(&self) -> impl Iterator<Item = &str> {
        let open = self.services.iter().filter(|(_, e)| e.is_open());
        open.map(|(service, _)| service.as_str())
    }

    /// Services that are unreachable.
    pub fn lost(&self) -> impl Iterator<Item = &str> {
        let lost = self.services.iter().filter(|(_, e)| e.lost_at.is_some());
        lost.map(|(service, _)| service.as_str())
    }
}

impl Evidence {
    fn is_open(&self) -> bool {
        self.lost_at.is_some() || self.is_doubted || !self.unreached.is_empty()
    }
}
