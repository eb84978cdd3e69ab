//! The commands, one module each.

mod account;
mod apply;
mod check;
mod drain;
mod explain;
mod history;
mod show;
mod status;

use crate::cli;
use crate::cli::Call;
use crate::cli::Command;
use crate::client::Admin;
use crate::config::Config;
use crate::error::Error;
use crate::output::Output;
use crate::submit;

/// Runs `call`.
///
/// # Errors
///
/// What the command could not do.
pub async fn run(call: &Call, output: Output) -> Result<(), Error> {
    let admin = || Config::new(&call.options).map(Admin::new);
    match &call.command {
        Command::Help => {
            output.line(&cli::help());
            Ok(())
        }
        Command::Version => {
            output.line(cli::VERSION);
            Ok(())
        }
        Command::TableShow => show::run(&admin()?, output).await,
        Command::TableCheck(path) => check::run(path, output),
        Command::TableApply(path, how) => apply::run(&admin()?, path, how, output).await,
        Command::TableForce(generation, wait) => {
            submit::await_force(&admin()?, *generation, *wait, "", output).await
        }
        Command::TableHistory => history::run(&admin()?, output).await,
        Command::Drain(mark, how) => drain::run(&admin()?, mark, true, how, output).await,
        Command::Undrain(mark, how) => drain::run(&admin()?, mark, false, how, output).await,
        Command::Status => status::run(&admin()?, output).await,
        Command::Explain(request, logs) => explain::run(&call.options, request, logs, output).await,
        Command::Account(logs) => account::run(logs, output),
        Command::ConfigCheck(path) => check::settings(path, output),
    }
}
