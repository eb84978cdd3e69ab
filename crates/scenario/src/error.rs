//! What can go wrong while a fleet is started, driven or called.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// A failure of a fleet or of a call, with the step and the peer.
#[derive(Debug)]
pub enum Error {
    /// A program of this workspace has not been built.
    MissingProgram {
        /// Where it was looked for.
        program: PathBuf,
    },
    /// A file or process operation failed.
    Io {
        /// What was being done.
        step: &'static str,
        /// File or process.
        peer: String,
        /// The system's answer.
        cause: io::Error,
    },
    /// A process ended while it was still needed.
    Exited {
        /// Its name in the plan.
        name: String,
        /// The last lines it wrote.
        log: String,
    },
    /// Something did not happen in time.
    Timeout {
        /// What was waited for.
        step: &'static str,
        /// Of whom.
        peer: String,
    },
    /// A name that the plan does not hold.
    UnknownName {
        /// The name.
        name: String,
    },
    /// A file that is not a scenario.
    InvalidScript {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        cause: String,
    },
    /// An expectation of a scenario that was not met.
    ExpectationFailed {
        /// Number of the step, from 1; 0 for what must hold in every scenario.
        step: usize,
        /// What was expected, and what was found.
        found: String,
    },
    /// A call got no answer, or lost it half-way.
    Http {
        /// Method and path.
        step: String,
        /// Address called.
        peer: String,
        /// What the client library says.
        cause: String,
    },
    /// A call got an answer that is not the expected one.
    UnexpectedAnswer {
        /// Method and path.
        step: String,
        /// Address called.
        peer: String,
        /// Status code.
        status: u16,
        /// Body as text.
        body: String,
    },
}

impl Error {
    /// An [`Error::Io`] while `step` was done on `peer`.
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
                "{} does not exist; build every program first: cargo build --workspace \
                 (with --release if this one was)",
                program.display()
            ),
            Self::Io { step, peer, cause } => write!(f, "{step} {peer}: {cause}"),
            Self::Exited { name, log } => write!(f, "{name} has ended; its last lines:\n{log}"),
            Self::Timeout { step, peer } => write!(f, "{step} {peer}: not in time"),
            Self::UnknownName { name } => write!(f, "the plan holds nothing named {name}"),
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
                write!(f, "{step} at {peer}: unexpected answer {status}: {body}")
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
