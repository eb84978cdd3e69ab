//! Measures the gateway's policy on a simulation of the users' platform.

use std::path::Path;
use std::process::ExitCode;

use getopts::Matches;
use getopts::Options;

use lab::site::plot;
use lab::site::plot::Line;
use lab::site::run;
use lab::site::setup::Choice;
use lab::site::setup::Setup;
use lab::site::stats::Stats;

/// Default number of seeds per row.
const SEEDS: u64 = 3;
/// Factor on the times of the slow replicas.
const SLOWNESS: f64 = 4.0;
/// Fractions of the replicas that a release has given another software version.
const RELEASED: [f64; 3] = [0.1, 0.3, 0.5];
/// Prefill replicas out of 140.
const PREFILL: [usize; 7] = [14, 18, 21, 24, 30, 38, 47];
/// Daemons that take requests.
const DAEMONS: [usize; 3] = [6, 20, 67];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    let done = match options.parse(&arguments) {
        Ok(matches) if matches.opt_present("help") => {
            print!("{}", options.usage("Usage: site [--seeds N] [--plot FILE]"));
            Ok(())
        }
        Ok(matches) => measure(&matches),
        Err(error) => Err(error.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("site: {cause}\n  try: `site --help`");
            ExitCode::from(2)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("s", "seeds", "seeds of each row (3)", "N");
    options.optopt("p", "plot", "also draw a plot into this SVG file", "FILE");
    options
}

fn measure(matches: &Matches) -> Result<(), String> {
    let seeds = matches.opt_get_default("seeds", SEEDS);
    let seeds = seeds.map_err(|error| format!("--seeds: {error}"))?;
    println!(
        "| fleet | daemons | prefill | choice | in time % | late % | refused % | read ms, 50/90/99 % | first token ms, 50/95 % |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for choice in [Choice::Score, Choice::Chance] {
        for daemons in DAEMONS {
            row(
                "krmiva",
                Setup::krmiva(daemons, 24).with_choice(choice),
                seeds,
            );
        }
        row("qureshi", Setup::qureshi(8, 12).with_choice(choice), seeds);
        let slow = Setup::krmiva(6, 24).with_slowness(SLOWNESS);
        row("krmiva, slow", slow.with_choice(choice), seeds);
        for released in RELEASED {
            let fleet = format!("krmiva, {:.0} % released", released * 100.0);
            let setup = Setup::krmiva(6, 24).with_released(released);
            row(&fleet, setup.with_choice(choice), seeds);
        }
    }
    let lines = DAEMONS.map(|daemons| Line {
        name: format!("{daemons} daemons"),
        points: points(daemons, seeds),
    });
    match matches.opt_str("plot") {
        Some(path) => plot::draw(Path::new(&path), "140 replicas, bursts of 1.8", &lines)
            .map_err(|error| format!("{path}: {error}")),
        None => Ok(()),
    }
}

fn points(daemons: usize, seeds: u64) -> Vec<(f64, f64)> {
    let point = |prefill: usize| {
        let stats = row("krmiva", Setup::krmiva(daemons, prefill), seeds);
        (prefill as f64, stats.in_time_share())
    };
    PREFILL.into_iter().map(point).collect()
}

/// Runs `setup` with each seed, prints the combined statistics and returns them.
fn row(fleet: &str, setup: Setup, seeds: u64) -> Stats {
    let mut all = Stats::new();
    for seed in 1..=seeds {
        all.add(&run::run(setup, seed));
    }
    println!(
        "| {fleet} | {} | {} | {:?} | {} |",
        setup.daemons,
        setup.prefill,
        setup.choice,
        all.row()
    );
    all
}
