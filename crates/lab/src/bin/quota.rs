//! Compares schemes by which daemons enforce the quota of a customer together.

use std::process::ExitCode;

use getopts::Matches;
use getopts::Options;

use lab::quota::load::Fault;
use lab::quota::load::Load;
use lab::quota::run;
use lab::quota::run::Stats;
use lab::quota::scheme::Scheme;

/// Default number of seeds per row.
const SEEDS: u64 = 8;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("s", "seeds", "seeds of each row (8)", "N");
    let done = match options.parse(&arguments) {
        Ok(matches) if matches.opt_present("help") => {
            print!("{}", options.usage("Usage: quota [--seeds N]"));
            Ok(())
        }
        Ok(matches) => measure(&matches),
        Err(error) => Err(error.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("quota: {cause}\n  try: `quota --help`");
            ExitCode::from(2)
        }
    }
}

fn loads() -> Vec<Load> {
    let small = |name, demand| Load::new(name, 81, 47_000.0, demand);
    let large = |name, demand| Load::new(name, 81, 160_000.0, demand);
    vec![
        small("small, usual", 0.55),
        small("small, hot", 4.0),
        large("large, usual", 0.55),
        large("large, hot", 4.0),
        large("hot, a third cut off", 4.0).with_fault(Fault::Cut(0.35)),
        large("usual, a third cut off", 0.55).with_fault(Fault::Cut(0.35)),
        large("hot, all killed", 4.0).with_fault(Fault::Kill(1.0)),
        large("usual, all killed", 0.55).with_fault(Fault::Kill(1.0)),
        small("hot, half killed", 4.0).with_fault(Fault::Kill(0.5)),
        small("usual, quota to a fifth", 0.55).with_fault(Fault::Lower(0.2)),
        Load::new("400 daemons, hot", 400, 500_000.0, 4.0),
        Load::new("400 daemons, usual", 400, 500_000.0, 0.55),
    ]
}

fn measure(matches: &Matches) -> Result<(), String> {
    let seeds = matches.opt_get_default("seeds", SEEDS);
    let seeds = seeds.map_err(|error| format!("--seeds: {error}"))?;
    println!(
        "| load | way | worst window of quota | of what is tolerated | lost within quota % | messages/s a daemon |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for load in loads() {
        for scheme in [Scheme::Share, Scheme::Told, Scheme::Keeper] {
            row(load, scheme, seeds);
        }
    }
    Ok(())
}

fn row(load: Load, scheme: Scheme, seeds: u64) {
    let all: Vec<Stats> = (0..seeds)
        .map(|seed| run::simulate(scheme, load, seed))
        .collect();
    let most = |of: fn(&Stats) -> f64| all.iter().map(of).fold(0.0, f64::max);
    let mean = |of: fn(&Stats) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    println!(
        "| {} | {scheme:?} | {:.2} | {:.2} | {:.1} | {:.1} |",
        load.name,
        most(|stats| stats.worst),
        most(|stats| stats.bound),
        100.0 * mean(|stats| stats.lost),
        mean(|stats| stats.messages)
    );
}
