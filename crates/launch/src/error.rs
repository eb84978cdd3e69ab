//! Errors that end a daemon.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::Program;
use crate::exit_codes::ExitCode;

/// An error that prevents the daemon from starting or running.
#[derive(Debug)]
pub enum Error {
    /// The command line is invalid.
    Usage {
        /// What is wrong with the command line.
        cause: String,
    },
    /// The settings file cannot be read.
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: io::Error,
    },
    /// The settings are invalid.
    Settings {
        /// The file.
        path: PathBuf,
        /// Line of the error, counted from 1; 0 if unknown.
        line: usize,
        /// The field, and what is wrong with it.
        cause: String,
    },
    /// Listening on an address failed.
    Listen {
        /// Name of the address in the settings.
        step: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: io::Error,
    },
    /// A part of the daemon failed to start.
    Start {
        /// Name of the part.
        step: &'static str,
        /// Cause of the failure.
        cause: String,
    },
}

impl Error {
    /// [`Error::Start`] for a failure to start `step`.
    pub fn start(step: &'static str, cause: &impl ToString) -> Self {
        Self::Start {
            step,
            cause: cause.to_string(),
        }
    }

    /// A hint for correcting the error, for users of `program`.
    pub fn hint(&self, program: &Program) -> String {
        let Program {
            name,
            settings_page,
            ..
        } = program;
        match self {
            Self::Usage { .. } => format!("`{name} --help`"),
            Self::Read { .. } => "check that the file exists and is readable".to_owned(),
            Self::Settings { .. } => format!(
                "correct the field, then `{name} --config FILE --check`; {settings_page} lists the fields"
            ),
            Self::Listen { .. } => "use an address of this machine with a free port".to_owned(),
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
