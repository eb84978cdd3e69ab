//! `waxwingd`, the entry daemon.

use std::env;
use std::process::ExitCode;

use entry::cli;
use entry::cli::Command;
use entry::config::Config;
use entry::error::Error;
use entry::output;

fn main() -> ExitCode {
    match run() {
        Ok(()) => entry::exit_codes::ExitCode::Success.into(),
        Err(error) => {
            output::print_error(&error);
            error.exit_code().into()
        }
    }
}

fn run() -> Result<(), Error> {
    let args = env::args().skip(1).collect::<Vec<_>>();
    match cli::parse(&args)? {
        Command::Help => output::print(&cli::help()),
        Command::Version => output::print(cli::VERSION),
        Command::Check { path } => {
            Config::read(&path)?;
            output::print("settings are valid");
        }
        Command::Run { path } => entry::run(Config::read(&path)?)?,
    }
    Ok(())
}
