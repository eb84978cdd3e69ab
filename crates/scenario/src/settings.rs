//! The settings file of a daemon, as YAML.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::plan::Timing;

/// Name of the operator that every daemon of a fleet knows.
pub const OPERATOR: &str = "ana";
/// That operator's token.
pub const TOKEN: &str = "demo-token-of-the-operator";
/// The secret that all daemons of a fleet share.
const SECRET: &str = "demo-secret-of-the-fleet";

/// Addresses of a daemon, each `ip:port`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Listen {
    /// Where callers connect.
    pub caller: String,
    /// Where other daemons connect.
    pub peer: String,
    /// Where operators and metrics scrapers connect.
    pub admin: String,
}

/// Settings as `waxwingd` reads them.
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

/// Another daemon to start from.
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
    /// Settings of the daemon `name`.
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

    /// The same with `seeds`.
    pub(crate) fn with_seeds(mut self, seeds: Vec<Seed>) -> Self {
        self.seeds = seeds;
        self
    }

    /// The same with `timing`.
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
