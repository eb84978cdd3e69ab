//! What a daemon tells operators and callers about itself.

use ident::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// State of the daemon, for `status` and the metrics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// This run.
    pub incarnation: String,
    /// Table generation in force here; 0 before the first table.
    pub generation: u64,
    /// Whether the table may be decided by now, and a list of replicas is known.
    pub fresh: bool,
    /// Milliseconds since the store was last read, here or by whoever told.
    pub store_age_ms: Option<u64>,
    /// Whether a planned stop is going on.
    pub leaving: bool,
    /// Requests open here.
    pub open: usize,
    /// Attempts whose memory on a replica is not confirmed released.
    pub holds: usize,
    /// Keys remembered.
    pub keys: usize,
    /// Pools this daemon is keeper of, with requests waiting and placed.
    pub pools: Vec<Pool>,
    /// All instances known.
    pub members: Vec<Member>,
}

/// A pool kept by this daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Requests waiting.
    pub waiting: usize,
    /// Requests placed.
    pub placed: usize,
}

/// An instance as seen from here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// `alive`, `suspect`, `leaving`, `dead` or `unheard`.
    pub state: String,
    /// Generation it last told of.
    pub generation: Option<u64>,
    /// Milliseconds since it was last heard.
    pub heard_ms: Option<u64>,
}

/// How far an edit has come into force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The generation asked about.
    pub generation: u64,
    /// Instances that decide by it, or by a later one, or cannot decide at all any more.
    pub in_force: usize,
    /// Instances on the list.
    pub known: usize,
    /// Names of the others.
    pub missing: Vec<String>,
}

impl Rollout {
    /// Whether it is in force on every instance.
    pub const fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.known > 0 && self.in_force >= self.known
    }
}

/// An address for callers.
#[derive(Debug, Clone)]
pub struct Address {
    /// Instance name.
    pub name: String,
    /// `ip:port`.
    pub address: String,
    /// Data centre key.
    pub zone: ident::Zone,
    /// The run that keys with this address's prefix belong to.
    pub runner: Incarnation,
    /// Relative weight.
    pub weight: u32,
}
