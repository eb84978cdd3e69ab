//! Errors of the command, each with its exit code and advice.

use std::fmt;
use std::io;
use std::path::PathBuf;

use crate::exit_codes::ExitCode;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// The command line is wrong.
    Usage {
        /// What is wrong with it.
        cause: String,
    },
    /// A file can't be read.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The content of a file is invalid.
    InvalidFile {
        /// Path of the file.
        path: PathBuf,
        /// All faults, one per line.
        faults: String,
    },
    /// The asynchronous runtime could not be started.
    Runtime {
        /// Error of the operating system.
        cause: io::Error,
    },
    /// No instance answered, or one that had to did not.
    Unreachable {
        /// Method and path of the request.
        step: String,
        /// Failures by address.
        failures: Vec<FailedAttempt>,
    },
    /// An instance rejected the operator's name or token.
    Denied {
        /// Method and path of the request.
        step: String,
        /// Address of the instance.
        peer: String,
    },
    /// Another operator changed the same rows first.
    Conflict {
        /// Address of the instance.
        peer: String,
        /// One line for each row, with both values.
        lines: Vec<String>,
    },
    /// The table that the file was made from can't be reconstructed.
    Outdated {
        /// Generation that the file names.
        made_from: u64,
        /// Generation in force.
        current: u64,
    },
    /// The edit did not pass the checks of the instance.
    Rejected {
        /// Address of the instance.
        peer: String,
        /// Reason given by the instance.
        cause: String,
    },
    /// Whether the edit was accepted is not known.
    Undecided {
        /// Id of the edit.
        id: String,
        /// Last failure of each address.
        failures: Vec<FailedAttempt>,
    },
    /// The edit is accepted, but not yet in force on every instance.
    NotInForce {
        /// Generation created by the edit.
        generation: u64,
        /// Names of the instances where it is not in force; empty if no instance reported them.
        missing: Vec<String>,
        /// Time waited, in seconds.
        waited: u64,
    },
    /// This version of the command can't parse an answer.
    UnexpectedAnswer {
        /// Method and path of the request.
        step: String,
        /// Address of the instance.
        peer: String,
        /// HTTP status code.
        status: u16,
        /// Beginning of the body.
        body: String,
    },
    /// No log line names the request.
    NotFound {
        /// Request that was searched for.
        request: String,
    },
}

/// A failed attempt at one address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Address of the instance.
    pub peer: String,
    /// Why it failed.
    pub cause: String,
}

impl Error {
    /// Exit code of the command.
    pub const fn code(&self) -> ExitCode {
        match self {
            Self::Usage { .. } => ExitCode::Usage,
            Self::Read { .. } | Self::Runtime { .. } | Self::UnexpectedAnswer { .. } => {
                ExitCode::Failure
            }
            Self::InvalidFile { .. } | Self::Rejected { .. } => ExitCode::Rejected,
            Self::Unreachable { .. } => ExitCode::Unreachable,
            Self::Denied { .. } => ExitCode::Denied,
            Self::Conflict { .. } | Self::Outdated { .. } => ExitCode::Conflict,
            Self::Undecided { .. } => ExitCode::Undecided,
            Self::NotInForce { .. } => ExitCode::NotInForce,
            Self::NotFound { .. } => ExitCode::NotFound,
        }
    }

    /// What the operator can do about the error.
    pub fn advice(&self) -> String {
        match self {
            Self::Usage { .. } => "see `waxwing --help`".to_owned(),
            Self::Read { .. } => "check the path and the permissions of the file".to_owned(),
            Self::InvalidFile { .. } => "correct the file and run the command again".to_owned(),
            Self::Runtime { .. } => "check the limits on processes and open files".to_owned(),
            Self::Unreachable { .. } => {
                "check that the instance is running, or give other admin addresses with --admin"
                    .to_owned()
            }
            Self::Denied { .. } => "check --operator and --token-file against `operators:` in the \
                                    settings of the instances"
                .to_owned(),
            Self::Conflict { .. } => {
                "nothing was changed: fetch the table again with `waxwing table \
                                      show`, and repeat your change in it if you still want it"
                    .to_owned()
            }
            Self::Outdated { .. } => {
                "nothing was changed: fetch the table again with `waxwing table \
                                      show` and repeat your change in it"
                    .to_owned()
            }
            Self::Rejected { .. } => {
                "nothing was changed: correct the edit as the cause says".to_owned()
            }
            Self::Undecided { id, .. } => format!(
                "run the same command with `--edit-id {id}`: an edit that was accepted is not \
                 applied twice"
            ),
            Self::NotInForce { generation, .. } => {
                format!(
                    "the edit is accepted; keep waiting with `waxwing table force {generation}`"
                )
            }
            Self::UnexpectedAnswer { .. } => {
                "check that the address is an admin address and the versions match".to_owned()
            }
            Self::NotFound { .. } => "query all instances (repeat --admin), or search log files \
                                      with --log FILE"
                .to_owned(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage { cause } => write!(f, "usage: {cause}"),
            Self::Read { path, cause } => write!(f, "read {}: {cause}", path.display()),
            Self::InvalidFile { path, faults } => {
                write!(f, "{} is invalid:\n{faults}", path.display())
            }
            Self::Runtime { cause } => write!(f, "start the runtime: {cause}"),
            Self::Unreachable { step, failures } => {
                write!(f, "{step}: no answer")?;
                write_failures(f, failures)
            }
            Self::Denied { step, peer } => {
                write!(
                    f,
                    "{step}: {peer} does not know this operator with this token"
                )
            }
            Self::Conflict { peer, lines } => {
                write!(
                    f,
                    "conflict (from {peer}): another operator changed the same rows first"
                )?;
                lines.iter().try_for_each(|line| write!(f, "\n  {line}"))
            }
            Self::Outdated { made_from, current } => write!(
                f,
                "the file was made from generation {made_from}; generation {current} is in force, \
                 and the edits between them are no longer stored"
            ),
            Self::Rejected { peer, cause } => write!(f, "rejected by {peer}: {cause}"),
            Self::Undecided { id, failures } => {
                write!(f, "whether edit {id} was accepted is not known")?;
                write_failures(f, failures)
            }
            Self::NotInForce {
                generation,
                missing,
                waited,
            } => {
                let names = if missing.is_empty() {
                    "no instance reported which ones are missing".to_owned()
                } else {
                    format!("missing: {}", missing.join(", "))
                };
                write!(
                    f,
                    "generation {generation} is not in force after {waited} s; {names}"
                )
            }
            Self::UnexpectedAnswer {
                step,
                peer,
                status,
                body,
            } => {
                write!(f, "{step}: unexpected answer {status} from {peer}: {body}")
            }
            Self::NotFound { request } => write!(f, "no decision names `{request}`"),
        }
    }
}

fn write_failures(f: &mut fmt::Formatter<'_>, failures: &[FailedAttempt]) -> fmt::Result {
    failures
        .iter()
        .try_for_each(|failure| write!(f, "\n  {}: {}", failure.peer, failure.cause))
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read { cause, .. } | Self::Runtime { cause } => Some(cause),
            _ => None,
        }
    }
}
