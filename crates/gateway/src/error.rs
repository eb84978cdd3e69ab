//! Errors that end the daemon.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Why the daemon cannot start.
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
        /// What is wrong, with the field and its place.
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
    /// What to try.
    pub const fn advice(&self) -> &'static str {
        match self {
            Self::Usage { .. } => "`waxwing-gateway --help`",
            Self::Read { .. } => "check that the file exists and may be read",
            Self::Settings { .. } => {
                "correct the field, then `waxwing-gateway --config FILE --check`; docs/GATEWAY.md lists the fields"
            }
            Self::Listen { .. } => "take an address of this machine with a free port",
            Self::Start { .. } => "check the limits of the process (open files, threads)",
        }
    }

    /// The exit code for this error: 2 usage, 3 settings, 4 addresses, 1 the rest.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage { .. } => 2,
            Self::Read { .. } | Self::Settings { .. } => 3,
            Self::Listen { .. } => 4,
            Self::Start { .. } => 1,
        })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage { cause } => write!(f, "command line: {cause}"),
            Self::Read { path, cause } => write!(f, "settings file {}: {cause}", path.display()),
            Self::Settings { path, cause } => {
                write!(f, "settings file {}: {cause}", path.display())
            }
            Self::Listen {
                step,
                address,
                cause,
            } => write!(f, "listening on the {step} address {address}: {cause}"),
            Self::Start { step, cause } => write!(f, "starting {step}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
