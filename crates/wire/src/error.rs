//! Errors of encoding and decoding frames.

use std::fmt;

/// Why a frame could not be encoded or decoded, by step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Reading or writing the length: it is out of range.
    TooLong {
        /// Length in bytes.
        length: usize,
    },
    /// Reading the version: the peer uses another one.
    Version {
        /// The peer's version.
        theirs: u16,
    },
    /// Decoding the body.
    Body {
        /// The error of the codec.
        cause: String,
    },
    /// Encoding the body.
    Encode {
        /// The error of the codec.
        cause: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { length } => write!(f, "frame length: {length} bytes is out of range"),
            Self::Version { theirs } => {
                write!(
                    f,
                    "frame version: peer uses {theirs}, this daemon uses {}",
                    crate::VERSION
                )
            }
            Self::Body { cause } => write!(f, "frame body: {cause}"),
            Self::Encode { cause } => write!(f, "frame encoding: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
