//! Parses the command line of a daemon.

use std::env;
use std::path::PathBuf;

use getopts::Matches;
use getopts::Options;

use crate::Program;
use crate::error::Error;

/// Command given on the command line.
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

/// Parses the arguments that follow the program name.
///
/// # Errors
/// [`Error::Usage`] if the arguments are not a valid command.
pub fn parse(program: &Program, args: &[String]) -> Result<Command, Error> {
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
            path: settings_path(program, m)?,
        }),
        m => Ok(Command::Run {
            path: settings_path(program, m)?,
        }),
    }
}

/// The help text.
pub fn help(program: &Program) -> String {
    options().usage(program.usage)
}

fn settings_path(program: &Program, matches: &Matches) -> Result<PathBuf, Error> {
    let option = matches.opt_str("config").map(PathBuf::from);
    let variable = || {
        program
            .settings_variable
            .and_then(env::var_os)
            .map(PathBuf::from)
    };
    option.or_else(variable).ok_or_else(|| Error::Usage {
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
