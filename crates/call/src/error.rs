//! Errors of calls to a peer, which show whether the call may have taken effect.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;

/// A failed call, with the kind of call (`S`) and the peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error<S> {
    /// Connecting failed: the call was not sent.
    NotSent {
        /// The call.
        step: S,
        /// The peer.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The call may have arrived; whether it took effect is unknown.
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
    /// The peer's answer cannot be read.
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
