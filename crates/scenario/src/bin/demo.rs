//! Starts a small fleet on loopback, sends real requests through it, and shows what happened.

use std::process::ExitCode;

use scenario::demo;

#[tokio::main]
async fn main() -> ExitCode {
    let ended = tokio::select! {
        ended = demo::run() => ended,
        // The fleet is dropped with the demo, which ends its processes.
        _ = tokio::signal::ctrl_c() => return ExitCode::FAILURE,
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
