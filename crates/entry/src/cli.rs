//! The command line.

use std::path::PathBuf;

use getopts::Matches;
use getopts::Options;

use crate::error::Error;

/// Name and version of the program.
pub const VERSION: &str = concat!("waxwingd ", env!("CARGO_PKG_VERSION"));

const BRIEF: &str = "Usage: waxwingd --config FILE [--check]

Routes language-model requests and plain calls for one entry instance.

Examples:
    waxwingd --config entry-1.yaml            run with these settings
    waxwingd --config entry-1.yaml --check    check the settings and exit

SIGTERM and SIGINT stop it gracefully: requests in progress are finished first.
Logs go to standard error, one JSON object a line.";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the daemon.
    Run {
        /// Settings file.
        path: PathBuf,
    },
    /// Check the settings and exit.
    Check {
        /// Settings file.
        path: PathBuf,
    },
    /// Print the help text.
    Help,
    /// Print name and version.
    Version,
}

/// Reads the arguments that follow the program name.
///
/// # Errors
/// `Usage` if they do not make a command.
pub fn parse(args: &[String]) -> Result<Command, Error> {
    let matches = options().parse(args).map_err(|error| Error::Usage {
        cause: error.to_string(),
    })?;
    match &matches {
        m if m.opt_present("help") => Ok(Command::Help),
        m if m.opt_present("version") => Ok(Command::Version),
        m if !m.free.is_empty() => Err(Error::Usage {
            cause: format!("unexpected argument `{}`", m.free[0]),
        }),
        m if m.opt_present("check") => Ok(Command::Check {
            path: config_path(m)?,
        }),
        m => Ok(Command::Run {
            path: config_path(m)?,
        }),
    }
}

/// The help text.
pub fn help() -> String {
    options().usage(BRIEF)
}

fn config_path(matches: &Matches) -> Result<PathBuf, Error> {
    matches
        .opt_str("config")
        .map(PathBuf::from)
        .ok_or_else(|| Error::Usage {
            cause: "`--config FILE` is missing".to_owned(),
        })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "read settings from FILE (YAML)", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print name and version");
    options
}
