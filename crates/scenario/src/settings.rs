//! The YAML settings file of a daemon.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::plan::Timing;

/// Name of the operator in the settings of every daemon.
pub const OPERATOR: &str = "ana";
/// Token of [`OPERATOR`].
pub const TOKEN: &str = "demo-token-of-the-operator";
/// Secret shared by all daemons of a fleet.
const SECRET: &str = "demo-secret-of-the-fleet";

/// Addresses of a daemon, each `ip:port`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Listen {
    /// Address for callers.
    pub caller: String,
    /// Address for other daemons.
    pub peer: String,
    /// Address for operators and metrics scrapers.
    pub admin: String,
}

/// Settings in the format of `waxwingd`.
#[derive(Debug, Serialize)]
pub(crate) struct Settings<'a> {
    name: &'a str,
    data_centre: &'a str,
    listen: &'a Listen,
    platform: &'a str,
    seeds: Vec<Seed>,
    secret: &'a str,
    operators: BTreeMap<&'a str, &'a str>,
    timing: TimingFields,
}

/// A daemon to contact at the start.
#[derive(Debug, Serialize)]
pub(crate) struct Seed {
    /// Its name.
    pub name: String,
    /// Its peer address.
    pub address: String,
}

#[derive(Debug, Serialize)]
struct TimingFields {
    lease_ms: u64,
    window_s: u64,
    address_ttl_ms: u64,
    orphan_grace_ms: u64,
    inspect_ms: u64,
    poll_ms: u64,
}

impl<'a> Settings<'a> {
    /// Creates the settings of the daemon `name`.
    pub(crate) fn new(
        name: &'a str,
        data_centre: &'a str,
        listen: &'a Listen,
        platform: &'a str,
    ) -> Self {
        Self {
            name,
            data_centre,
            listen,
            platform,
            seeds: Vec::new(),
            secret: SECRET,
            operators: BTreeMap::from([(OPERATOR, TOKEN)]),
            timing: Timing::default().into(),
        }
    }

    /// Sets the seeds.
    pub(crate) fn with_seeds(mut self, seeds: Vec<Seed>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the times.
    pub(crate) fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing.into();
        self
    }
}

impl From<Timing> for TimingFields {
    fn from(timing: Timing) -> Self {
        Self {
            lease_ms: timing.lease_ms,
            window_s: timing.window_s,
            address_ttl_ms: timing.address_ttl_ms,
            orphan_grace_ms: timing.orphan_grace_ms,
            inspect_ms: timing.inspect_ms,
            poll_ms: timing.poll_ms,
        }
    }
}
