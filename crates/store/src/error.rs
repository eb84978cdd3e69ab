//! Why a call to the platform failed.

use std::fmt;
use std::net::SocketAddr;

/// The call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A transaction.
    Txn,
    /// A read of rows, which may be stale.
    Rows,
    /// A read of the list.
    List,
    /// A read of an object.
    Fetch,
    /// A write of an object.
    Keep,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Txn => "transaction",
            Self::Rows => "read of rows",
            Self::List => "read of the list",
            Self::Fetch => "read of an object",
            Self::Keep => "write of an object",
        })
    }
}

/// A failed call, with the step and the peer at which it failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection was made: no byte of the call can have arrived.
    NotSent {
        /// The call.
        step: Step,
        /// The platform.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The call may have arrived, and its effect is not known.
    Lost {
        /// The call.
        step: Step,
        /// The platform.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The platform refused the call, which had no effect.
    Refused {
        /// The call.
        step: Step,
        /// The platform.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The platform answered, and its answer cannot be read.
    Malformed {
        /// The call.
        step: Step,
        /// The platform.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn is_uncertain(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Malformed { .. })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { step, peer, cause } => {
                write!(f, "{step} was not sent to the platform at {peer}: {cause}")
            }
            Self::Lost { step, peer, cause } => {
                write!(
                    f,
                    "{step} was sent to the platform at {peer}, answer lost: {cause}"
                )
            }
            Self::Refused { step, peer, status } => {
                write!(
                    f,
                    "{step} was refused by the platform at {peer} with status {status}"
                )
            }
            Self::Malformed { step, peer, cause } => {
                write!(
                    f,
                    "{step}: unreadable answer of the platform at {peer}: {cause}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}
