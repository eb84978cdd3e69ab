//! Startup of a daemon: command line, fatal errors and exit codes.
//!
//! Each daemon provides a [`Program`] and functions that read its settings and run it.

pub mod cli;
pub mod error;
pub mod exit_codes;
pub mod listen;
mod output;

use std::env;
use std::path::Path;

use crate::cli::Command;
use crate::error::Error;
use crate::exit_codes::ExitCode;

/// Description of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name of the program.
    pub name: &'static str,
    /// Version of the program.
    pub version: &'static str,
    /// Purpose and examples; the first part of the help text.
    pub usage: &'static str,
    /// Documentation page that lists the settings.
    pub settings_page: &'static str,
    /// Environment variable with the path of the settings file, used if the command line has none.
    pub settings_variable: Option<&'static str>,
}

/// Executes the command line of `program`: `read` reads and checks the settings, `run` runs the
/// daemon with them until it stops.
pub fn run<S>(
    program: &Program,
    read: impl Fn(&Path) -> Result<S, Error>,
    run: impl Fn(S, &Path) -> Result<(), Error>,
) -> ExitCode {
    let args = env::args().skip(1).collect::<Vec<_>>();
    match execute(program, &args, read, run) {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            output::print_error(program, &error);
            error.exit_code()
        }
    }
}

fn execute<S>(
    program: &Program,
    args: &[String],
    read: impl Fn(&Path) -> Result<S, Error>,
    run: impl Fn(S, &Path) -> Result<(), Error>,
) -> Result<(), Error> {
    match cli::parse(program, args)? {
        Command::Help => output::print(&cli::help(program)),
        Command::Version => output::print(&format!("{} {}", program.name, program.version)),
        Command::Check { path } => {
            read(&path)?;
            output::print("settings are valid");
        }
        Command::Run { path } => run(read(&path)?, &path)?,
    }
    Ok(())
}
