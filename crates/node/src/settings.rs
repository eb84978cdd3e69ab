//! Settings of the core.

use std::time::Duration;

use ident::Incarnation;
use ident::Instance;
use ident::Zone;

/// What a core is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub instance: Instance,
    /// Its name, for log lines.
    pub name: String,
    /// Its data centre.
    pub zone: Zone,
    /// This run; random.
    pub incarnation: Incarnation,
    /// Start of this run in milliseconds of the Unix clock.
    pub started_ms: u64,
    /// Instances to start from, besides the platform's list.
    pub seeds: Vec<Instance>,
    /// Secret shared by all instances; seals resume tokens.
    pub secret: Vec<u8>,
    /// How long a table may be decided by without proof that it is the newest.
    pub lease: Duration,
    /// How long keys are remembered.
    pub window: Duration,
    /// How long callers may keep an address answer.
    pub address_ttl: Duration,
    /// How long an attempt may be without a live owner before it is cancelled.
    pub orphan_grace: Duration,
    /// Time between two inspections of a replica by its keeper.
    pub inspect_every: Duration,
    /// Time between two reads of the store by a poller.
    pub poll_every: Duration,
    /// Most requests open at once.
    pub max_open: usize,
    /// Most keys remembered at once.
    pub max_keys: usize,
}
