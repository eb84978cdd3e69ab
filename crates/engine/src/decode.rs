//! Decode: imports a KV cache and generates.

use std::net::SocketAddr;

use serde::Serialize;

use crate::Claim;

/// What is to be generated.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Request {
    /// The attempt, under which the prefill was made.
    #[serde(flatten)]
    pub claim: Claim,
    /// The engine that keeps the prefill's result.
    pub source: SocketAddr,
    /// Most tokens of the whole answer, earlier generated ones included.
    pub max_tokens: u32,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// First token wanted, counted from the begin of the whole answer.
    pub offset: u32,
}
