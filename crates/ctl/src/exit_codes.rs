//! Exit codes of the command.

use std::process;

/// How the command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// It did what was asked; an edit is in force.
    Success,
    /// It failed in a way that no other code names.
    Failure,
    /// The command line is wrong.
    Usage,
    /// Another operator changed the same rows first; nothing was changed.
    Conflict,
    /// A table, an edit or settings did not pass the checks; nothing was changed.
    Rejected,
    /// The edit is accepted, but not yet in force on every instance.
    NotInForce,
    /// No instance answered, or one that had to did not.
    Unreachable,
    /// The instances do not know this operator or token.
    Denied,
    /// Whether the edit was accepted is not known.
    Undecided,
    /// Nothing was found.
    NotFound,
}

impl ExitCode {
    /// The number that the operating system is told.
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Rejected => 4,
            Self::NotInForce => 5,
            Self::Unreachable => 6,
            Self::Denied => 7,
            Self::Undecided => 8,
            Self::NotFound => 9,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.code())
    }
}
