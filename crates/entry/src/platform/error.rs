//! Errors of store queries.

use std::fmt;

use table::storage;

/// Why a query failed.
#[derive(Debug)]
pub enum Error {
    /// The call to the platform failed.
    Store(store::Error),
    /// An earlier call of the query failed and may have taken effect; this one failed too.
    Uncertain(store::Error),
    /// Records that cannot be parsed, or an invalid edit.
    Record(storage::Error),
    /// A recorded outcome that cannot be parsed.
    Outcome {
        /// Its key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// Other edits were committed first in every try.
    Contended {
        /// Number of tries.
        tries: u32,
    },
}

impl Error {
    /// Whether the query may have taken effect.
    pub fn is_uncertain(&self) -> bool {
        match self {
            Self::Store(error) => error.is_uncertain(),
            Self::Uncertain(_) => true,
            Self::Record(_) | Self::Outcome { .. } | Self::Contended { .. } => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(cause) => write!(f, "{cause}"),
            Self::Uncertain(cause) => {
                write!(
                    f,
                    "an earlier commit may have taken effect, and then: {cause}"
                )
            }
            Self::Record(cause) => write!(f, "{cause}"),
            Self::Outcome { key, cause } => write!(f, "store record `{key}`: {cause}"),
            Self::Contended { tries } => {
                write!(
                    f,
                    "other edits came first {tries} times; send the edit again"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Self {
        Self::Store(error)
    }
}

impl From<storage::Error> for Error {
    fn from(error: storage::Error) -> Self {
        Self::Record(error)
    }
}
