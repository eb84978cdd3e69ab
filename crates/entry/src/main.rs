//! `waxwingd`, the entry daemon.

use std::process::ExitCode;

use entry::config::Config;
use launch::Program;

const PROGRAM: Program = Program {
    name: "waxwingd",
    version: env!("CARGO_PKG_VERSION"),
    usage: "Usage: waxwingd --config FILE [--check]

Routes language-model requests and plain calls for one entry instance.

Examples:
    waxwingd --config entry-1.yaml            run with these settings
    waxwingd --config entry-1.yaml --check    check the settings and exit

SIGTERM and SIGINT stop it gracefully: requests in progress are finished first.
Logs go to standard error, one JSON object a line.",
    settings_page: "docs/API.md",
    settings_variable: None,
};

fn main() -> ExitCode {
    launch::run(&PROGRAM, Config::read, |config, _| entry::run(config)).into()
}
