//! Errors that end a daemon.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::Program;
use crate::exit_codes::ExitCode;

/// Why the daemon cannot start or go on.
#[derive(Debug)]
pub enum Error {
    /// Reading the command line.
    Usage {
        /// What is wrong with it.
        cause: String,
    },
    /// Opening the settings file.
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: io::Error,
    },
    /// Reading the settings.
    Settings {
        /// The file.
        path: PathBuf,
        /// Line of the fault, counted from 1; 0 if it has none.
        line: usize,
        /// What is wrong, with the field.
        cause: String,
    },
    /// Listening on an address.
    Listen {
        /// Which of the settings' addresses.
        step: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: io::Error,
    },
    /// Starting a part of the daemon.
    Start {
        /// Which part.
        step: &'static str,
        /// What went wrong.
        cause: String,
    },
}

impl Error {
    /// Makes `Start` of what went wrong while `step` was started.
    pub fn start(step: &'static str, cause: &impl ToString) -> Self {
        Self::Start {
            step,
            cause: cause.to_string(),
        }
    }

    /// What to try with `program`.
    pub fn hint(&self, program: &Program) -> String {
        let Program {
            name,
            settings_page,
            ..
        } = program;
        match self {
            Self::Usage { .. } => format!("`{name} --help`"),
            Self::Read { .. } => "check that the file exists and may be read".to_owned(),
            Self::Settings { .. } => format!(
                "correct the field, then `{name} --config FILE --check`; {settings_page} lists the fields"
            ),
            Self::Listen { .. } => "take an address of this machine with a free port".to_owned(),
            Self::Start { .. } => {
                "check the limits of the process (open files, threads)".to_owned()
            }
        }
    }

    /// The exit code for this error.
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage { .. } => ExitCode::Usage,
            Self::Read { .. } | Self::Settings { .. } => ExitCode::Settings,
            Self::Listen { .. } => ExitCode::Listen,
            Self::Start { .. } => ExitCode::Failure,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage { cause } => write!(f, "command line: {cause}"),
            Self::Read { path, cause } => {
                write!(f, "settings file {}: {cause}", path.display())
            }
            Self::Settings {
                path,
                line: 0,
                cause,
            } => {
                write!(f, "settings file {}: {cause}", path.display())
            }
            Self::Settings { path, line, cause } => {
                write!(f, "settings file {}, line {line}: {cause}", path.display())
            }
            Self::Listen {
                step,
                address,
                cause,
            } => {
                write!(f, "listening on the {step} address {address}: {cause}")
            }
            Self::Start { step, cause } => write!(f, "starting {step}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
