//! Implementation of the operators' command `waxwing`.
//!
//! It reads and edits the table, drains instances and replicas, and explains decisions, through the
//! admin addresses of the daemons and from their log files.

pub mod account;
pub mod answer;
pub mod base;
pub mod cli;
pub mod client;
pub mod commands;
pub mod config;
pub mod crowd;
pub mod error;
pub mod exit_codes;
pub mod output;
pub mod submit;
pub mod timeline;

use crate::cli::Invocation;
use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output::Output;

/// Runs the command given by `args`, which do not include the program's name.
pub fn run(args: Vec<String>) -> ExitCode {
    let invocation = match cli::parse(args) {
        Ok(invocation) => invocation,
        Err(error) => return Output::new(false).error(&error),
    };
    let output = Output::new(invocation.options.json);
    match execute(&invocation, output) {
        Ok(()) => ExitCode::Success,
        Err(error) => output.error(&error),
    }
}

fn execute(invocation: &Invocation, output: Output) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| Error::Runtime { cause })?;
    runtime.block_on(commands::run(invocation, output))
}
