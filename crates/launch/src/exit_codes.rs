//! Exit codes of a daemon.

use std::process;

/// How the process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// It did what was asked, including a planned stop.
    Success,
    /// It failed while running.
    Failure,
    /// The command line is wrong.
    Usage,
    /// The settings are wrong.
    Settings,
    /// An address cannot be listened on.
    Listen,
}

impl ExitCode {
    /// The number that the operating system is told.
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
