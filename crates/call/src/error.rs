//! How a call to a peer failed, and whether it may have taken effect.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;

/// A failed call, with the step (the call, `S`) and the peer at which it failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error<S> {
    /// No connection was made: no byte of the call can have arrived.
    NotSent {
        /// The call.
        step: S,
        /// The peer.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The call may have arrived, and its effect is not known.
    Lost {
        /// The call.
        step: S,
        /// The peer.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The peer refused the call, which had no effect.
    Refused {
        /// The call.
        step: S,
        /// The peer.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The peer answered, and its answer cannot be read.
    Malformed {
        /// The call.
        step: S,
        /// The peer.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
}

impl<S> Error<S> {
    /// Whether the call may have taken effect.
    pub const fn is_uncertain(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Malformed { .. })
    }
}

impl<S: fmt::Display> fmt::Display for Error<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { step, peer, cause } => {
                write!(f, "{step} was not sent to {peer}: {cause}")
            }
            Self::Lost { step, peer, cause } => {
                write!(f, "{step} was sent to {peer}, answer lost: {cause}")
            }
            Self::Refused {
                step, peer, status, ..
            } => write!(f, "{step} was refused by {peer} with status {status}"),
            Self::Malformed { step, peer, cause } => {
                write!(f, "{step}: unreadable answer of {peer}: {cause}")
            }
        }
    }
}

impl<S: fmt::Debug + fmt::Display> std::error::Error for Error<S> {}
