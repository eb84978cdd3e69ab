//! What a replica tells of itself.

use ident::Handle;
use ident::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::text;

/// What a replica does.
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

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A prefill that waits or runs.
    Prefill,
    /// A finished prefill whose result is kept.
    Kept,
    /// A decode whose KV cache is under way; holds a slot.
    Import,
    /// A decode that generates; holds a slot.
    Decode,
    /// A finished decode whose text is kept for readers.
    Done,
}

/// The state of a replica; plain applications tell only start number, slots and running calls.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct State {
    /// Start number: memory of an earlier one is gone.
    pub boot: u64,
    /// What it does.
    #[serde(default = "plain")]
    pub role: Role,
    /// Requests it runs at once.
    pub slots: u32,
    /// Requests that run; lags.
    pub running: u32,
    /// Requests that wait; lags.
    #[serde(default)]
    pub waiting: u32,
    /// Tokens of prefills that wait or run; lags.
    #[serde(default)]
    pub queued_tokens: u32,
    /// Attempts it holds now.
    #[serde(default)]
    pub works: Vec<Work>,
    /// Prefix cache events, late and with gaps.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Number to ask for events after the next time.
    #[serde(default)]
    pub last_seq: u64,
}

/// An attempt that a replica holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Work {
    /// The attempt.
    #[serde(deserialize_with = "text::handle")]
    pub handle: Handle,
    /// Its present owner.
    #[serde(deserialize_with = "text::incarnation")]
    pub owner: Incarnation,
    /// Fencing number of that owner.
    pub fence: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Time since it came, in milliseconds.
    pub held_ms: u64,
}

/// A block came into the prefix cache or left it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Event {
    /// Number of the event; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the block.
    pub block: u64,
    /// Whether it was stored; else it was evicted.
    pub stored: bool,
}

fn plain() -> Role {
    Role::Plain
}
