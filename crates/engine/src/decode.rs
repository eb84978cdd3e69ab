//! Decode: imports a KV cache and generates tokens.

use std::net::SocketAddr;

use serde::Serialize;

use crate::Claim;

/// The tokens to generate.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Request {
    /// The attempt, the same as of the prefill.
    #[serde(flatten)]
    pub claim: Claim,
    /// The engine that holds the result of the prefill.
    pub source: SocketAddr,
    /// Most tokens of the whole answer, including those generated earlier.
    pub max_tokens: u32,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// First token to send, counted from the start of the whole answer.
    pub offset: u32,
}
