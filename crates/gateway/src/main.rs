//! `waxwing-gateway`, the gateway daemon for the users' platform.

use std::process::ExitCode;

use gateway::settings::Settings;
use launch::Program;

const PROGRAM: Program = Program {
    name: "waxwing-gateway",
    version: env!("CARGO_PKG_VERSION"),
    usage: "Usage: waxwing-gateway --config FILE [--check]

Relays callers' requests to replicas of model engines and plain applications.

Examples:
    waxwing-gateway --config edge-1.yaml            run with these settings
    waxwing-gateway --config edge-1.yaml --check    check the settings and exit

The variable WAXWING_SETTINGS names the file where --config does not.
SIGTERM and SIGINT stop it gracefully; SIGHUP reads the settings again.
Logs go to standard output, one JSON object a line.",
    settings_page: "docs/GATEWAY.md",
    settings_variable: Some("WAXWING_SETTINGS"),
};

fn main() -> ExitCode {
    launch::run(&PROGRAM, Settings::read, gateway::run).into()
}
