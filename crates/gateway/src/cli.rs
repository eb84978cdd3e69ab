//! The command line.

use std::env;
use std::path::PathBuf;

use getopts::Matches;
use getopts::Options;

use crate::error::Error;

/// Name and version of the program.
pub const VERSION: &str = concat!("waxwing-gateway ", env!("CARGO_PKG_VERSION"));

/// Variable that names the settings file where `--config` does not.
pub const CONFIG_VARIABLE: &str = "WAXWING_SETTINGS";

const BRIEF: &str = "Usage: waxwing-gateway --config FILE [--check]

Relays callers' requests to replicas of model engines and plain applications.

Examples:
    waxwing-gateway --config edge-1.yaml            run with these settings
    waxwing-gateway --config edge-1.yaml --check    check the settings and exit

The variable WAXWING_SETTINGS names the file where --config does not.
SIGTERM and SIGINT stop it gracefully; SIGHUP reads the settings again.
Logs go to standard output, one JSON object a line.";

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
        m if m.opt_present("check") => Ok(Command::Check { path: path(m)? }),
        m => Ok(Command::Run { path: path(m)? }),
    }
}

/// The help text.
pub fn help() -> String {
    options().usage(BRIEF)
}

fn path(matches: &Matches) -> Result<PathBuf, Error> {
    let named = matches.opt_str("config").map(PathBuf::from);
    let found = named.or_else(|| env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
    found.ok_or_else(|| Error::Usage {
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
