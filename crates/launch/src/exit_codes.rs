//! Exit codes of a daemon.

use std::process;

/// Result of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded, including a planned stop.
    Success,
    /// The daemon failed to start or while running.
    Failure,
    /// The command line is invalid.
    Usage,
    /// The settings cannot be read or are invalid.
    Settings,
    /// Listening on an address failed.
    Listen,
}

impl ExitCode {
    /// The exit status passed to the operating system.
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Settings => 3,
            Self::Listen => 4,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.code())
    }
}
