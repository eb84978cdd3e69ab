//! Settings of the core.

use std::time::Duration;

use ident::Incarnation;
use ident::Instance;
use ident::Zone;

/// Settings of [`crate::Node`], fixed for a run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub instance: Instance,
    /// Its name, for log lines.
    pub name: String,
    /// Its data centre.
    pub zone: Zone,
    /// Random identifier of this run.
    pub incarnation: Incarnation,
    /// Start of this run on the Unix clock, in milliseconds.
    pub started_ms: u64,
    /// Instances to contact before the platform's list is known.
    pub seeds: Vec<Instance>,
    /// Secret shared by all instances, used to authenticate resume tokens.
    pub secret: Vec<u8>,
    /// How long a table may be used without proof that it is the newest.
    pub lease: Duration,
    /// How long keys are remembered.
    pub window: Duration,
    /// How long callers may keep an address answer.
    pub address_ttl: Duration,
    /// How long an attempt may be without a live owner before it is cancelled.
    pub orphan_grace: Duration,
    /// Interval between two inspections of a replica by its keeper.
    pub inspect_every: Duration,
    /// Interval between two reads of the store by a poller.
    pub poll_every: Duration,
    /// Maximum number of open requests.
    pub max_open: usize,
    /// Maximum number of remembered keys.
    pub max_keys: usize,
}
