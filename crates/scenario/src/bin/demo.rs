//! Runs the demo: starts a small fleet on loopback, sends requests through it, and prints the
//! results.

use std::path::Path;
use std::process::ExitCode;

use getopts::Options;
use scenario::demo;
use scenario::error::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const USAGE_LINE: &str = "Usage: demo [--stay FILE]";
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt(
        "",
        "stay",
        "only start the fleet and write shell variables to FILE",
        "FILE",
    );
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        _ => {
            eprintln!("{}", options.usage(USAGE_LINE));
            return EXIT_USAGE.into();
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE_LINE));
        return ExitCode::SUCCESS;
    }
    let ended = match matches.opt_str("stay") {
        Some(file) => stay(Path::new(&file)).await,
        None => interruptible(demo::run()).await,
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

/// Keeps the fleet running until a termination signal.
async fn stay(file: &Path) -> Result<bool, Error> {
    let fleet = demo::stay::start(file).await?;
    termination_signal().await;
    drop(fleet);
    Ok(true)
}

/// Runs `work`. A termination signal drops it, and with it the fleet and its processes.
async fn interruptible(work: impl Future<Output = Result<bool, Error>>) -> Result<bool, Error> {
    tokio::select! {
        ended = work => ended,
        () = termination_signal() => Ok(false),
    }
}

async fn termination_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return drop(tokio::signal::ctrl_c().await);
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
