//! Compares policies that place generations on decode replicas whose memory fills.

use std::process::ExitCode;

use getopts::Options;

use lab::decode::run;
use lab::decode::setup::LOADS;
use lab::decode::setup::Load;
use lab::decode::setup::Policy;
use lab::decode::setup::Setup;
use lab::decode::stats::Stats;

/// Default number of seeds per row.
const SEEDS: u64 = 4;
/// Standard deviations to compare.
const SPREADS: [f64; 5] = [0.5, 1.0, 2.0, 3.0, 4.0];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("s", "seeds", "seeds of each row (4)", "N");
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return refuse(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: decode [--seeds N]"));
        return ExitCode::SUCCESS;
    }
    match matches.opt_get_default("seeds", SEEDS) {
        Ok(seeds) => measure(seeds),
        Err(error) => return refuse(&format!("--seeds: {error}")),
    }
    ExitCode::SUCCESS
}

fn refuse(cause: &str) -> ExitCode {
    eprintln!("decode: {cause}\n  try: `decode --help`");
    ExitCode::from(2)
}

fn measure(seeds: u64) {
    println!(
        "| fleet | load | policy | in time % | late % | refused % | set aside % | moved % | 1,000 tokens read again |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in LOADS {
        for policy in policies() {
            row("doubling", load, policy, seeds, Setup::doubling);
        }
        for policy in [Policy::Reserve, policies()[4]] {
            row("steady", load, policy, seeds, Setup::steady);
        }
    }
}

/// Reservations, and forecasts with and without migrations.
fn policies() -> Vec<Policy> {
    let forecast = |spreads, moves| Policy::Forecast { spreads, moves };
    let mut policies = vec![Policy::Reserve];
    policies.extend(SPREADS.map(|spreads| forecast(spreads, true)));
    policies.push(forecast(3.0, false));
    policies
}

fn row(fleet: &str, load: Load, policy: Policy, seeds: u64, setup: impl Fn(Load, Policy) -> Setup) {
    let mut all = Stats::default();
    for seed in 1..=seeds {
        all.add(&run::run(setup(load, policy), seed));
    }
    let name = match policy {
        Policy::Reserve => "reserve prompt and estimate".to_owned(),
        Policy::Forecast { spreads, moves } => {
            let moves = if moves { ", moves" } else { "" };
            format!("forecast, {spreads:.1} deviations{moves}")
        }
    };
    println!("| {fleet} | {} | {name} | {} |", load.name, all.row());
}
