//! Attach: reads a stream that runs or has just ended, in place of its former reader.

use serde::Serialize;

use crate::Claim;

/// What is to be read.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Request {
    /// The attempt.
    #[serde(flatten)]
    pub claim: Claim,
    /// First token wanted, counted from the begin of the whole answer.
    pub offset: u32,
}
