//! The state machine of a request.

use std::fmt;

use ident::Handle;

/// The stage that a request has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It waits for a placement; nothing of this attempt was sent to a replica.
    Waiting,
    /// Its prefill was ordered.
    Prefill,
    /// Its decode was ordered, or its stream was taken over from another instance.
    Decode,
    /// Its plain call was sent.
    Call,
    /// It has received its final answer.
    Ended,
}

impl Stage {
    /// Moves to `next`.
    ///
    /// # Errors
    /// `Error` if the transition is not allowed.
    pub fn advance(self, next: Self, handle: Handle) -> Result<Self, Error> {
        if self.leads_to(next) {
            Ok(next)
        } else {
            Err(Error {
                from: self,
                to: next,
                handle,
            })
        }
    }

    /// Whether the transition from here to `next` is allowed.
    pub const fn leads_to(self, next: Self) -> bool {
        matches!(
            (self, next),
            (Self::Waiting, Self::Prefill | Self::Call | Self::Ended)
                | (Self::Prefill, Self::Decode | Self::Waiting | Self::Ended)
                | (Self::Decode, Self::Prefill)
                | (Self::Decode | Self::Call, Self::Waiting | Self::Ended)
        )
    }

    /// The name used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Call => "call",
            Self::Ended => "ended",
        }
    }
}

/// A transition that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The stage before.
    pub from: Stage,
    /// The stage it should have reached.
    pub to: Stage,
    /// The attempt, which contains the owner.
    pub handle: Handle,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { from, to, handle } = self;
        write!(
            f,
            "attempt {handle}: {} cannot follow {}",
            to.as_str(),
            from.as_str()
        )
    }
}

impl std::error::Error for Error {}
