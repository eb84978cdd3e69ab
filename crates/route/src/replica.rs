//! Replicas as described by the platform's list and by their own reports.

use std::time::Duration;

use ident::Replica;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// The work that a replica does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Computes KV caches of prompts.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Answers plain calls.
    Plain,
}

/// One replica of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The replica.
    pub replica: Replica,
    /// Its data centre.
    pub zone: Zone,
    /// Its role.
    pub role: Role,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}

/// One event of a replica's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number within one boot; a gap shows lost events.
    pub seq: u64,
    /// Hash of the block.
    pub block: u64,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// The load that a replica reported; it lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Minimum age of the load figures.
    pub age: Duration,
    /// Boot number, changed at each start of the replica.
    pub boot: u64,
    /// Requests that are running.
    pub running: u32,
    /// Requests waiting inside the replica.
    pub waiting: u32,
    /// Prompt tokens waiting inside the replica.
    pub queued_tokens: u64,
    /// Requests that hold memory now; unlike the other figures it does not lag.
    pub works: u32,
    /// Prefix cache events since the last report, late and with gaps.
    pub events: Vec<CacheEvent>,
}
