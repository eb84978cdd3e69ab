//! Status reports for operators and addresses for callers.

use ident::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// State of a daemon, for `status` and the metrics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub name: String,
    /// Incarnation of this run.
    pub incarnation: String,
    /// Table generation in force; 0 before the first table.
    pub generation: u64,
    /// Whether the table is up to date and a list of replicas is known.
    pub fresh: bool,
    /// Milliseconds since the last read of the store that is known, by this daemon or a peer.
    pub store_age_ms: Option<u64>,
    /// Whether a planned stop is in progress.
    pub leaving: bool,
    /// Number of open requests.
    pub open: usize,
    /// Number of attempts whose memory on a replica is not confirmed as released.
    pub holds: usize,
    /// Number of remembered keys.
    pub keys: usize,
    /// Pools whose keeper is this daemon.
    pub pools: Vec<Pool>,
    /// Instances in the platform's list.
    pub members: Vec<Member>,
}

/// Load of a pool whose keeper is this daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of placed requests.
    pub placed: usize,
}

/// State of an instance as seen by this daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// `alive`, `suspect`, `leaving`, `dead` or `unheard`.
    pub state: String,
    /// Table generation that it last reported.
    pub generation: Option<u64>,
    /// Milliseconds since the last message from it.
    pub heard_ms: Option<u64>,
}

/// Rollout of a table generation to the listed instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The generation.
    pub generation: u64,
    /// Number of instances that use it or a later one, or that cannot admit requests any more.
    pub in_force: usize,
    /// Number of instances in the list.
    pub known: usize,
    /// Names of the other instances.
    pub missing: Vec<String>,
}

impl Rollout {
    /// Returns whether it is in force on every instance.
    pub const fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.known > 0 && self.in_force >= self.known
    }
}

/// An address for callers.
#[derive(Debug, Clone)]
pub struct Address {
    /// Instance name.
    pub name: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Data centre of the instance.
    pub zone: ident::Zone,
    /// Run that owns keys with the prefix of this address.
    pub runner: Incarnation,
    /// Relative weight.
    pub weight: u32,
}
