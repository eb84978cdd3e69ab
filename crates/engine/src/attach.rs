//! Attach: takes over a running or just ended stream from its previous reader.

use serde::Serialize;

use crate::Claim;

/// The stream to read.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Request {
    /// The attempt.
    #[serde(flatten)]
    pub claim: Claim,
    /// First token to send, counted from the start of the whole answer.
    pub offset: u32,
}
