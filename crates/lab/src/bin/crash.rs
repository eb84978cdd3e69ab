//! Measures how many replicas parts of prompts crash before all daemons withhold them, and how many
//! sound requests are refused meanwhile.

use std::process::ExitCode;

use getopts::Matches;
use getopts::Options;

use lab::crash::load::Load;
use lab::crash::run;
use lab::crash::run::Stats;

/// Default number of seeds per row.
const SEEDS: u64 = 20;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("s", "seeds", "seeds of each row (20)", "N");
    let done = match options.parse(&arguments) {
        Ok(matches) if matches.opt_present("help") => {
            print!("{}", options.usage("Usage: crash [--seeds N]"));
            Ok(())
        }
        Ok(matches) => measure(&matches),
        Err(error) => Err(error.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("crash: {cause}\n  try: `crash --help`");
            ExitCode::from(2)
        }
    }
}

fn loads() -> Vec<Load> {
    let small = |name| Load::new(name, 9, 9, 12.0, 1.5);
    let grown = |name| Load::new(name, 81, 90, 80.0, 1.5);
    vec![
        small("9 daemons, one part"),
        small("9 daemons, three parts").with_parts(3),
        small("9 daemons, one part at all at once").with_burst(),
        small("9 daemons, all restarted").with_restarts(),
        small("9 daemons, a third of the replicas ends").with_rack(0.34),
        small("9 daemons, a tenth of the datagrams lost").with_loss(0.1),
        grown("81 daemons, one part"),
        grown("81 daemons, three parts at all at once")
            .with_parts(3)
            .with_burst(),
        Load::new(
            "81 daemons, 120 requests/s with each of three parts",
            81,
            90,
            80.0,
            120.0,
        )
        .with_parts(3),
        grown("81 daemons, a fifth of the replicas ends").with_rack(0.2),
        grown("81 daemons, all restarted").with_restarts(),
        Load::new("400 daemons, one part", 400, 930, 500.0, 4.0),
        Load::new(
            "400 daemons, a tenth of the replicas ends",
            400,
            930,
            500.0,
            4.0,
        )
        .with_rack(0.1),
    ]
}

fn measure(matches: &Matches) -> Result<(), String> {
    let seeds = matches.opt_get_default("seeds", SEEDS);
    let seeds = seeds.map_err(|error| format!("--seeds: {error}"))?;
    println!(
        "| load | crashes on a part, mean | most | sends later than 3 s after the fifth, most | sound requests refused % | from 6 s on % | most in a run | messages |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in loads() {
        row(load, seeds);
    }
    Ok(())
}

fn row(load: Load, seeds: u64) {
    let all: Vec<Stats> = (0..seeds).map(|seed| run::simulate(load, seed)).collect();
    let mean = |of: fn(&Stats) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    let most = |of: fn(&Stats) -> usize| all.iter().map(of).max().unwrap_or_default();
    let worst = all
        .iter()
        .map(|stats| stats.refused_late)
        .fold(0.0, f64::max);
    println!(
        "| {} | {:.1} | {} | {} | {:.2} | {:.2} | {:.1} | {:.0} |",
        load.name,
        mean(|stats| stats.crashes as f64),
        most(|stats| stats.crashes),
        most(|stats| stats.late_sends),
        100.0 * mean(|stats| stats.refused),
        100.0 * mean(|stats| stats.refused_late),
        100.0 * worst,
        mean(|stats| stats.messages as f64)
    );
}
