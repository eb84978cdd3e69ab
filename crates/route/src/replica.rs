//! What a cell knows about its replicas from outside.

use std::time::Duration;

use ident::Replica;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// What a replica does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Computes KV caches of prompts.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Answers plain calls.
    Plain,
}

/// One replica of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The replica.
    pub replica: Replica,
    /// Its data centre.
    pub zone: Zone,
    /// What it does.
    pub role: Role,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
}

/// One event of a replica's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the events of one boot; a jump shows that events were lost.
    pub seq: u64,
    /// Hash of the block.
    pub block: u64,
    /// Stored if true, evicted if false.
    pub stored: bool,
}

/// The load that a replica reported; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// How old the load figures are at least.
    pub age: Duration,
    /// Changes at each start of the replica.
    pub boot: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the replica.
    pub waiting: u32,
    /// Prompt tokens waiting inside the replica.
    pub queued_tokens: u64,
    /// Requests that hold memory now; current, unlike the other figures.
    pub works: u32,
    /// Events of the prefix cache since the last report, late and with gaps.
    pub events: Vec<CacheEvent>,
}
