//! What can go wrong, where, and what to try.

use std::fmt;
use std::io;
use std::path::PathBuf;

use crate::exit_codes::ExitCode;

/// Why a command did not do what was asked.
#[derive(Debug)]
pub enum Error {
    /// The command line is wrong.
    Usage {
        /// What is wrong with it.
        cause: String,
    },
    /// A file can't be read.
    Read {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        cause: io::Error,
    },
    /// A file did not pass its checks.
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// Every fault, one a line.
        faults: String,
    },
    /// The asynchronous runtime did not start.
    Runtime {
        /// The system's answer.
        cause: io::Error,
    },
    /// Instances did not answer: all that were asked, or one that had to.
    Unreachable {
        /// What was asked.
        step: String,
        /// Each address with its failure.
        failures: Vec<FailedAttempt>,
    },
    /// An instance does not know this operator or token.
    Denied {
        /// What was asked.
        step: String,
        /// Address of the instance.
        peer: String,
    },
    /// Another operator changed the same rows first.
    Conflict {
        /// Address of the instance.
        peer: String,
        /// Both values of each row.
        lines: Vec<String>,
    },
    /// The file was made from a table that can't be reconstructed.
    Outdated {
        /// The generation that the file names.
        made_from: u64,
        /// The generation in force.
        current: u64,
    },
    /// The edit did not pass the instance's checks.
    Rejected {
        /// Address of the instance.
        peer: String,
        /// Why.
        cause: String,
    },
    /// Whether the edit was accepted is not known.
    Undecided {
        /// Id of the edit.
        id: String,
        /// Each attempt with its failure.
        failures: Vec<FailedAttempt>,
    },
    /// The edit is accepted, but instances do not decide by it yet.
    NotInForce {
        /// Its generation.
        generation: u64,
        /// Names of the instances; empty if nobody could tell.
        missing: Vec<String>,
        /// Seconds waited.
        waited: u64,
    },
    /// An answer that this version of the command does not understand.
    UnexpectedAnswer {
        /// What was asked.
        step: String,
        /// Address of the instance.
        peer: String,
        /// Status code.
        status: u16,
        /// Beginning of the body.
        body: String,
    },
    /// No decision line names the request.
    NotFound {
        /// The text looked for.
        request: String,
    },
}

/// A failed attempt at one address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The address.
    pub peer: String,
    /// What happened.
    pub cause: String,
}

impl Error {
    /// The exit code.
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

    /// What to try.
    pub fn advice(&self) -> String {
        match self {
            Self::Usage { .. } => "see `waxwing --help`".to_owned(),
            Self::Read { .. } => "check the name and who may read the file".to_owned(),
            Self::InvalidFile { .. } => "correct the file and run the command again".to_owned(),
            Self::Runtime { .. } => "check the limits on processes and open files".to_owned(),
            Self::Unreachable { .. } => {
                "check that the instance runs, or name other admin addresses with --admin"
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
                "nothing was changed: correct the edit, or do as the cause says".to_owned()
            }
            Self::Undecided { id, .. } => format!(
                "run the same command with `--edit-id {id}`: an edit that was accepted is not \
                 made twice"
            ),
            Self::NotInForce { generation, .. } => {
                format!("the edit stands; go on waiting with `waxwing table force {generation}`")
            }
            Self::UnexpectedAnswer { .. } => {
                "check that the address is an admin address and the versions match".to_owned()
            }
            Self::NotFound { .. } => "ask all instances (--admin, repeated), or search kept log \
                                      files with --log FILE"
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
                write!(f, "{} is faulty:\n{faults}", path.display())
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
                write!(f, "conflict (from {peer}): another operator was first")?;
                lines.iter().try_for_each(|line| write!(f, "\n  {line}"))
            }
            Self::Outdated { made_from, current } => write!(
                f,
                "the file was made from generation {made_from}; generation {current} is in force, \
                 and the edits between them are not kept any more"
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
                    "no instance could tell".to_owned()
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
