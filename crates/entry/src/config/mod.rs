//! Settings of the daemon, which are checked before anything starts.

mod field;
mod file;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use launch::error::Error;

use crate::secret::Secret;

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this instance, as on the platform's list.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Its listening addresses.
    pub listen: Listen,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Initial peers, in addition to the platform's list.
    pub seeds: Vec<Seed>,
    /// Secret shared by all instances; seals resume tokens and authenticates peers.
    pub secret: Secret,
    /// Operator tokens by name.
    pub operators: BTreeMap<String, Secret>,
    /// Time limits.
    pub timing: Timing,
    /// Size limits.
    pub limits: Limits,
}

/// The listening addresses of a daemon.
#[derive(Debug, Clone)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators and metrics scrapers.
    pub admin: SocketAddr,
}

/// An initial peer.
#[derive(Debug, Clone)]
pub struct Seed {
    /// Its name.
    pub name: String,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Time limits.
#[derive(Debug, Clone)]
pub struct Timing {
    /// How long a table may be used without proof that it is the newest.
    pub lease: Duration,
    /// How long keys are remembered.
    pub window: Duration,
    /// How long callers may cache an address answer.
    pub address_ttl: Duration,
    /// How long an attempt may be without a live owner before it is cancelled.
    pub orphan_grace: Duration,
    /// Time between two inspections of a replica.
    pub inspect_every: Duration,
    /// Time between two reads of the store by a poller.
    pub poll_every: Duration,
}

/// Size limits.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Most requests open at the same time.
    pub open: usize,
    /// Most keys remembered at the same time.
    pub keys: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
}

impl Config {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// `Read` if the file cannot be read, `Settings` with line and field if it is invalid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|cause| Error::Read {
            path: path.to_owned(),
            cause,
        })?;
        file::parse(&text).map_err(|error| Error::Settings {
            path: path.to_owned(),
            line: error.line,
            cause: error.cause,
        })
    }
}
