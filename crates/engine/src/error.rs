//! Errors of calls to replicas.

use std::fmt;

use serde::Deserialize;

/// The call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A prefill.
    Prefill,
    /// The start of a decode.
    Decode,
    /// The start of an attach.
    Attach,
    /// Reading a stream.
    Stream,
    /// A cancel.
    Cancel,
    /// A state read.
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

/// A failed call to a replica.
pub type Error = call::Error<Step>;

#[derive(Debug, Deserialize)]
struct FenceRefusal {
    fence: u64,
}

/// The highest fencing number that a refusing replica has seen, if its answer contains one.
pub fn fence(error: &Error) -> Option<u64> {
    match error {
        Error::Refused { body, .. } => serde_json::from_slice::<FenceRefusal>(body)
            .ok()
            .map(|refusal| refusal.fence),
        _ => None,
    }
}
