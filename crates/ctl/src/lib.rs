//! The operators' command: reads and edits the table, marks instances and replicas to drain, and
//! explains decisions, all through the admin addresses of the daemons.

pub mod account;
pub mod answer;
pub mod base;
pub mod cli;
pub mod client;
pub mod commands;
pub mod config;
pub mod error;
pub mod exit_codes;
pub mod output;
pub mod story;
pub mod submit;

use crate::cli::Call;
use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output::Output;

/// Runs the command line `args`, without the program's name.
pub fn run(args: Vec<String>) -> ExitCode {
    let call = match cli::parse(args) {
        Ok(call) => call,
        Err(error) => return Output::new(false).error(&error),
    };
    let output = Output::new(call.options.json);
    match execute(&call, output) {
        Ok(()) => ExitCode::Success,
        Err(error) => output.error(&error),
    }
}

fn execute(call: &Call, output: Output) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| Error::Runtime { cause })?;
    runtime.block_on(commands::run(call, output))
}
