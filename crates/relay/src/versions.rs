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
    /// When the last replica was removed.
    ended_at: Time,
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
            usage.ended_at = now;
        }
        versions.retain(|_, usage| usage.replicas > 0 || now.since(usage.ended_at) < RETENTION);
    }

    /// The only version of `service` that had replicas within `period`; `None` if there were several
    /// or an unknown one.
    pub(crate) fn only(&self, now: Time, service: &str, period: Duration) -> Option<&str> {
        let versions = self.services.get(service)?.iter();
        let mut recent = versions
            .filter(|(_, usage)| usage.replicas > 0 || now.since(usage.ended_at) < period)
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
