//! Prefill: computes the KV cache of a prompt.

use serde::Deserialize;
use serde::Serialize;

use crate::Claim;

/// What is to be computed.
#[derive(Debug, Clone, Serialize)]
pub struct Request {
    /// The attempt.
    #[serde(flatten)]
    pub claim: Claim,
    /// The prompt.
    pub prompt: String,
    /// Tokens that earlier attempts generated, which follow the prompt.
    pub generated: Vec<String>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens of the whole answer, generated ones included.
    pub max_tokens: u32,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// Hashes of the prompt's blocks, for the prefix cache.
    pub blocks: Vec<u64>,
}

/// How a prefill ended; its result is kept for under a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Reply {
    /// Start number of the engine.
    pub boot: u64,
    /// Tokens that were computed.
    pub computed: u32,
    /// Tokens that were found in the prefix cache.
    pub cached: u32,
}
