//! Progress that an owner reports about a placed request.

use serde::Deserialize;
use serde::Serialize;

/// A step of a placed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The prefill ended; its result is kept for a short time.
    Prefilled {
        /// Tokens that the engine computed.
        computed: u32,
        /// Tokens found in the engine's prefix cache.
        cached: u32,
    },
    /// The decode replica refused the request or was lost before it imported the KV cache, and the
    /// prefill result still exists: another decode replica is needed.
    Rejected,
    /// The decode replica imported the KV cache; the first token follows.
    Decoding,
    /// The request ended and holds no resources.
    Finished {
        /// Tokens generated; zero for a plain call.
        tokens: u32,
    },
    /// The request was cancelled or failed, and all its holds are released.
    Gone,
}
