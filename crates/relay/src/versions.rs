//! Software versions of the replicas of a service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use ident::Time;

use crate::replica::Replica;

/// How long a version without replicas is remembered; streams are far shorter.
const RETENTION: Duration = Duration::from_hours(1);

/// Versions by service. The version of an incarnation that the list does not show yet is `None`.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    services: HashMap<String, BTreeMap<Option<String>, Usage>>,
}

/// Use of one version.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    replicas: usize,
    /// Replicas of them that are draining.
    draining: usize,
    /// When the last replica was removed; `None` if none was.
    ended_at: Option<Time>,
}

impl Versions {
    pub(crate) fn add(&mut self, replica: &Replica) {
        let versions = self.services.entry(replica.service.clone()).or_default();
        let usage = versions.entry(replica.software.clone()).or_default();
        usage.replicas += 1;
        usage.draining += usize::from(replica.draining);
    }

    pub(crate) fn remove(&mut self, now: Time, replica: &Replica) {
        let Some(versions) = self.services.get_mut(&replica.service) else {
            return;
        };
        if let Some(usage) = versions.get_mut(&replica.software) {
            usage.replicas = usage.replicas.saturating_sub(1);
            usage.draining = usage.draining.saturating_sub(replica.draining.into());
            usage.ended_at = Some(now);
        }
        versions.retain(|_, usage| usage.is_recent(now, RETENTION));
    }

    /// Records that the incarnation of `replica`, whose version was unknown, has one: it never had another.
    pub(crate) fn identify(&mut self, replica: &Replica) {
        let versions = self.services.get_mut(&replica.service);
        if let Some(usage) = versions.and_then(|versions| versions.get_mut(&None)) {
            usage.replicas = usage.replicas.saturating_sub(1);
            usage.draining = usage.draining.saturating_sub(replica.draining.into());
        }
    }

    /// The only version of `service` that had replicas within `period`; `None` if there were several
    /// or an unknown one.
    pub(crate) fn only(&self, now: Time, service: &str, period: Duration) -> Option<&str> {
        let versions = self.services.get(service)?.iter();
        let mut recent = versions
            .filter(|(_, usage)| usage.is_recent(now, period))
            .map(|(version, _)| version.as_deref());
        match (recent.next(), recent.next()) {
            (Some(only), None) => only,
            _ => None,
        }
    }

    /// Whether a replica of `service` that is not draining has the version `software`.
    pub(crate) fn serves(&self, service: &str, software: &str) -> bool {
        let versions = self.services.get(service);
        let usage = versions.and_then(|versions| versions.get(&Some(software.to_owned())));
        usage.is_some_and(|usage| usage.replicas > usage.draining)
    }
}

impl Usage {
    /// Whether there was a replica within `period`.
    fn is_recent(&self, now: Time, period: Duration) -> bool {
        let ended_recently = |at| now.since(at) < period;
        self.replicas > 0 || self.ended_at.is_some_and(ended_recently)
    }
}
