//! `waxwing-gateway`, the daemon on the users' platform.

use std::env;
use std::process::ExitCode;

use gateway::cli;
use gateway::cli::Command;
use gateway::error::Error;
use gateway::output;
use gateway::settings::Settings;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::print_error(&error);
            error.exit_code()
        }
    }
}

fn run() -> Result<(), Error> {
    let args = env::args().skip(1).collect::<Vec<_>>();
    match cli::parse(&args)? {
        Command::Help => output::print(&cli::help()),
        Command::Version => output::print(cli::VERSION),
        Command::Check { path } => {
            Settings::read(&path)?;
            output::print("settings are valid");
        }
        Command::Run { path } => gateway::run(Settings::read(&path)?, &path)?,
    }
    Ok(())
}
