//! What an owner reports about a placed request.

use serde::Deserialize;
use serde::Serialize;

/// A step in the life of a placed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The prefill ended; its result is kept for a short while.
    Prefilled {
        /// Tokens that the engine computed.
        computed: u32,
        /// Tokens that it found in its prefix cache.
        cached: u32,
    },
    /// The decode replica would not take the request or was lost before it had imported the KV
    /// cache, and the prefill result is still kept: another decode replica is wanted.
    Rejected,
    /// The decode replica has imported the KV cache; the first token is due.
    Decoding,
    /// The request ended and holds nothing any more.
    Finished {
        /// Tokens generated; zero for a plain call.
        tokens: u32,
    },
    /// The request was cancelled or failed, and every hold is released.
    Gone,
}
