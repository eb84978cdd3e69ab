//! What can be wrong with bytes from a peer.

use std::fmt;

/// Why bytes did not become a frame, by step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Reading the length: the frame is longer than is taken.
    TooLong {
        /// Announced length in bytes.
        length: usize,
    },
    /// Reading the version: the peer speaks another one.
    Version {
        /// The peer's version.
        theirs: u16,
    },
    /// Decoding the body.
    Body {
        /// What the codec said.
        cause: String,
    },
    /// Encoding the body.
    Encode {
        /// What the codec said.
        cause: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { length } => write!(f, "frame length: {length} bytes are too many"),
            Self::Version { theirs } => {
                write!(
                    f,
                    "frame version: peer speaks {theirs}, this daemon {}",
                    crate::VERSION
                )
            }
            Self::Body { cause } => write!(f, "frame body: {cause}"),
            Self::Encode { cause } => write!(f, "frame encoding: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
