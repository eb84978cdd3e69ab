//! Errors of starting, controlling or calling a fleet.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// An error of a fleet or of a call, with the step and the peer.
#[derive(Debug)]
pub enum Error {
    /// A program of this workspace has not been built.
    MissingProgram {
        /// Expected path.
        program: PathBuf,
    },
    /// A file or process operation failed.
    Io {
        /// Operation.
        step: &'static str,
        /// File or process concerned.
        peer: String,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// A process exited unexpectedly or with an error.
    Exited {
        /// Name of the process.
        name: String,
        /// Last lines of its output.
        log: String,
    },
    /// An event did not happen in time.
    Timeout {
        /// Awaited event.
        step: &'static str,
        /// Process concerned.
        peer: String,
    },
    /// A name that is not in the plan.
    UnknownName {
        /// The name.
        name: String,
    },
    /// A file that is not a valid scenario.
    InvalidScript {
        /// The file.
        file: PathBuf,
        /// Parse error.
        cause: String,
    },
    /// An expectation of a scenario was not met.
    ExpectationFailed {
        /// Number of the step, from 1; 0 for the checks at the end of every scenario.
        step: usize,
        /// Description of the mismatch.
        found: String,
    },
    /// A call got no response, or only a part of it.
    Http {
        /// Method and path.
        step: String,
        /// Address of the peer.
        peer: String,
        /// Error of the HTTP library.
        cause: String,
    },
    /// A call got an unexpected response.
    UnexpectedAnswer {
        /// Method and path.
        step: String,
        /// Address of the peer.
        peer: String,
        /// Status code.
        status: u16,
        /// Body as text.
        body: String,
    },
}

impl Error {
    /// Creates an [`Error::Io`] for operation `step` on `peer`.
    pub(crate) fn io(step: &'static str, peer: impl fmt::Display, cause: io::Error) -> Self {
        Self::Io {
            step,
            peer: peer.to_string(),
            cause,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingProgram { program } => write!(
                f,
                "{} does not exist; build all programs first: cargo build --workspace \
                 (with --release if this program was)",
                program.display()
            ),
            Self::Io { step, peer, cause } => write!(f, "{step} {peer}: {cause}"),
            Self::Exited { name, log } => {
                write!(f, "{name} exited; last lines of its output:\n{log}")
            }
            Self::Timeout { step, peer } => write!(f, "{peer} did not {step} in time"),
            Self::UnknownName { name } => write!(f, "the plan has no entry named {name}"),
            Self::InvalidScript { file, cause } => write!(f, "{}: {cause}", file.display()),
            Self::ExpectationFailed { step: 0, found } => write!(f, "at the end: {found}"),
            Self::ExpectationFailed { step, found } => write!(f, "step {step}: {found}"),
            Self::Http { step, peer, cause } => write!(f, "{step} at {peer}: {cause}"),
            Self::UnexpectedAnswer {
                step,
                peer,
                status,
                body,
            } => {
                write!(f, "{step} at {peer}: unexpected status {status}: {body}")
            }
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { cause, .. } => Some(cause),
            _ => None,
        }
    }
}
