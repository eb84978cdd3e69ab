//! Why a call to a replica failed.

use std::fmt;

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

/// A failed call to a replica.
pub type Error = call::Error<Step>;

#[derive(Debug, Deserialize)]
struct Fenced {
    fence: u64,
}

/// The highest fencing number that a refusing replica has seen, if it told.
pub fn fence(error: &Error) -> Option<u64> {
    match error {
        Error::Refused { body, .. } => serde_json::from_slice::<Fenced>(body)
            .ok()
            .map(|fenced| fenced.fence),
        _ => None,
    }
}
