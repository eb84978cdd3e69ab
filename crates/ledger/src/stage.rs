//! The state machine of a request.

use std::fmt;

use ident::Handle;

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Waits for a placement; nothing of this attempt was sent to a replica.
    Waiting,
    /// Its prefill was ordered.
    Prefill,
    /// Its decode was ordered, or its stream was taken over.
    Decode,
    /// Its plain call was sent.
    Call,
    /// It has its final answer.
    Ended,
}

impl Stage {
    /// Moves to `next`.
    ///
    /// # Errors
    /// `Error` if no request may go that way.
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

    /// Whether a request may go from here to `next`.
    pub const fn leads_to(self, next: Self) -> bool {
        matches!(
            (self, next),
            (Self::Waiting, Self::Prefill | Self::Call | Self::Ended)
                | (Self::Prefill, Self::Decode | Self::Waiting | Self::Ended)
                | (Self::Decode, Self::Prefill)
                | (Self::Decode | Self::Call, Self::Waiting | Self::Ended)
        )
    }

    /// The word used in log lines.
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

/// A transition that no request may make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The step it was at.
    pub from: Stage,
    /// The step it was to reach.
    pub to: Stage,
    /// The attempt, which names the owner.
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
