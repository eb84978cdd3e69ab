//! Exit codes of the command.

use std::process;

/// Result of the command, as reported to the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded; an edit is in force.
    Success,
    /// Any failure without a code of its own.
    Failure,
    /// The command line is wrong.
    Usage,
    /// Another operator changed the same rows first; nothing was changed.
    Conflict,
    /// A table, an edit or a settings file is invalid; nothing was changed.
    Rejected,
    /// The edit is accepted, but not yet in force on every instance.
    NotInForce,
    /// No instance answered, or one that had to did not.
    Unreachable,
    /// The instances rejected the operator's name or token.
    Denied,
    /// Whether the edit was accepted is not known.
    Undecided,
    /// No log line names the request.
    NotFound,
}

impl ExitCode {
    /// Exit status of the process.
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
