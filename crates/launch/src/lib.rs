//! How a daemon starts and what it tells people: command line, errors that end it, exit codes.
//!
//! Each daemon describes itself by a [`Program`] and passes in how it checks its settings and how
//! it runs.

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

/// A daemon's description of itself.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name of the program.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// What it is for, with examples; the first part of the help text.
    pub usage: &'static str,
    /// The page that lists its settings.
    pub settings_page: &'static str,
    /// Variable that names the settings file where the command line does not.
    pub settings_variable: Option<&'static str>,
}

/// Runs `program` as the command line asks: `read` reads and checks the settings, `run` runs with
/// them until the daemon stops.
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
