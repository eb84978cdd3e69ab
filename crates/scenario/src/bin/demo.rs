//! Starts a small fleet on loopback, sends real requests through it, and shows what happened.

use std::path::Path;
use std::process::ExitCode;

use getopts::Options;
use scenario::demo;
use scenario::error::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const BRIEF: &str = "Usage: demo [--stay FILE]";
const USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt(
        "",
        "stay",
        "only start the fleet, and write shell variables to FILE",
        "FILE",
    );
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        _ => {
            eprintln!("{}", options.usage(BRIEF));
            return USAGE.into();
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
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

/// Keeps the fleet until the process is asked to end.
async fn stay(file: &Path) -> Result<bool, Error> {
    let fleet = demo::stay::start(file).await?;
    asked_to_end().await;
    drop(fleet);
    Ok(true)
}

/// Drops `work`, and with it the fleet and its processes, when the process is asked to end.
async fn interruptible(work: impl Future<Output = Result<bool, Error>>) -> Result<bool, Error> {
    tokio::select! {
        ended = work => ended,
        () = asked_to_end() => Ok(false),
    }
}

async fn asked_to_end() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return drop(tokio::signal::ctrl_c().await);
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
