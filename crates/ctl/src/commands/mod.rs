//! Implementation of the commands, one module each.

mod account;
mod apply;
mod check;
mod crowd;
mod drain;
mod explain;
mod history;
mod show;
mod status;

use crate::cli;
use crate::cli::Command;
use crate::cli::Invocation;
use crate::client::AdminClient;
use crate::config::Config;
use crate::error::Error;
use crate::output::Output;
use crate::submit;

/// Runs the command of `invocation`.
///
/// # Errors
///
/// The reason why the command failed.
pub async fn run(invocation: &Invocation, output: Output) -> Result<(), Error> {
    let admin = || Config::new(&invocation.options).map(AdminClient::new);
    match &invocation.command {
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
        Command::TableApply(path, submit_options) => {
            apply::run(&admin()?, path, submit_options, output).await
        }
        Command::TableForce(generation, wait) => {
            submit::wait_until_in_force(&admin()?, *generation, *wait, "", output).await
        }
        Command::TableHistory => history::run(&admin()?, output).await,
        Command::Drain(target, submit_options) => {
            drain::run(&admin()?, target, true, submit_options, output).await
        }
        Command::Undrain(target, submit_options) => {
            drain::run(&admin()?, target, false, submit_options, output).await
        }
        Command::Status => status::run(&admin()?, output).await,
        Command::Explain(request, logs) => {
            explain::run(&invocation.options, request, logs, output).await
        }
        Command::Account(logs) => account::run(logs, output),
        Command::Crowd(logs) => crowd::run(logs, output),
        Command::ConfigCheck(path) => check::settings(path, output),
    }
}
