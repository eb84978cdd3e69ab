//! Why a call to a replica failed.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;

/// The call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A prefill.
    Prefill,
    /// The begin of a decode.
    Decode,
    /// The begin of an attachment.
    Attach,
    /// Reading a stream.
    Stream,
    /// A cancel.
    Cancel,
    /// A read of the state.
    State,
    /// An order.
    Order,
    /// A plain application call.
    Call,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Attach => "attach",
            Self::Stream => "stream",
            Self::Cancel => "cancel",
            Self::State => "read of the state",
            Self::Order => "order",
            Self::Call => "application call",
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
        /// The replica.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The call may have arrived, and its effect is not known.
    Lost {
        /// The call.
        step: Step,
        /// The replica.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The replica answered that it did not carry the call out.
    Refused {
        /// The call.
        step: Step,
        /// The replica.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The replica answered, and its answer cannot be read.
    Malformed {
        /// The call.
        step: Step,
        /// The replica.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
}

#[derive(Debug, Deserialize)]
struct Fenced {
    fence: u64,
}

impl Error {
    /// The highest fencing number that a refusing replica has seen, if it told.
    pub fn fence(&self) -> Option<u64> {
        match self {
            Self::Refused { body, .. } => serde_json::from_slice::<Fenced>(body)
                .ok()
                .map(|fenced| fenced.fence),
            _ => None,
        }
    }
}

impl fmt::Display for Error {
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
            } => {
                write!(f, "{step} was refused by {peer} with status {status}")
            }
            Self::Malformed { step, peer, cause } => {
                write!(f, "{step}: unreadable answer of {peer}: {cause}")
            }
        }
    }
}

impl std::error::Error for Error {}
