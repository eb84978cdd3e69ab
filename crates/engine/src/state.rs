//! The state that a replica reports.

use ident::Handle;
use ident::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::text;

/// The kind of work that a replica does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes KV caches.
    Prefill,
    /// Generates tokens from imported KV caches.
    Decode,
    /// Runs plain calls.
    Plain,
}

/// The phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A prefill that is queued or running.
    Prefill,
    /// A finished prefill whose KV cache is held.
    Kept,
    /// A decode that imports its KV cache; holds a slot.
    Import,
    /// A decode that generates tokens; holds a slot.
    Decode,
    /// A finished decode whose tokens can still be read.
    Done,
}

/// The state of a replica; plain applications report only `boot`, `slots` and `running`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct State {
    /// Start number; a restart changes it and loses everything that the replica held.
    pub boot: u64,
    /// Its role.
    #[serde(default = "plain")]
    pub role: Role,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Running requests; the value lags.
    pub running: u32,
    /// Queued requests; the value lags.
    #[serde(default)]
    pub waiting: u32,
    /// Tokens of queued and running prefills; the value lags.
    #[serde(default)]
    pub queued_tokens: u32,
    /// Attempts that it holds now.
    #[serde(default)]
    pub works: Vec<Work>,
    /// Prefix cache events; they may be late or missing.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Number of the last event, from which the next read continues.
    #[serde(default)]
    pub last_seq: u64,
}

/// An attempt that a replica holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Work {
    /// The attempt.
    #[serde(deserialize_with = "text::handle")]
    pub handle: Handle,
    /// Its current owner.
    #[serde(deserialize_with = "text::incarnation")]
    pub owner: Incarnation,
    /// Fencing number of the owner.
    pub fence: u64,
    /// Its phase.
    pub phase: Phase,
    /// Time since its arrival, in milliseconds.
    pub held_ms: u64,
}

/// A block was stored in the prefix cache or evicted from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Event {
    /// Number of the event; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

fn plain() -> Role {
    Role::Plain
}
