//! Handles, by which replicas identify attempts at requests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::Incarnation;
use crate::hex;

/// Identifies an attempt at a request, unique across all daemons and restarts.
///
/// Its text form is `<incarnation>-<sequence>`, both in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Handle {
    /// The daemon run that made the attempt.
    pub owner: Incarnation,
    /// Sequence number of the attempt in that run.
    pub sequence: u64,
}

impl Handle {
    /// The attempt `sequence` of `owner`.
    pub const fn new(owner: Incarnation, sequence: u64) -> Self {
        Self { owner, sequence }
    }
}

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.owner, self.sequence)
    }
}

/// Error for a text that is not a handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError(String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a handle of the form <incarnation>-<sequence>",
            self.0
        )
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Handle {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (owner, sequence) = text.split_once('-')?;
            let owner = hex::parse(owner)?;
            let sequence = hex::parse(sequence)?;
            Some(Self::new(Incarnation(owner), sequence))
        };
        parse().ok_or_else(|| ParseError(text.to_owned()))
    }
}
