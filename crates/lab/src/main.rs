//! Runs the simulations and prints a table; optionally writes one CSV line per run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;

use lab::bench;
use lab::rival;
use lab::rival::Rival;
use lab::simulation;
use lab::simulation::Fault;
use lab::simulation::Setup;
use lab::summary;
use lab::workload;
use lab::workload::Workload;

/// Runs in parallel.
const THREADS: usize = 4;
/// Loads that are measured without faults.
const LOADS: [f64; 4] = [0.3, 0.7, 0.95, 1.2];
/// Load under which faults are measured.
const FAULT_LOAD: f64 = 0.95;
/// Numbers of replicas and of requests in progress for which a decision is timed.
const REPLICAS: [u64; 3] = [12, 100, 930];
const BUSY: [u64; 4] = [10, 100, 1_000, 10_000];
/// Numbers of requests queued at a full scheduler for which a decision is timed.
const FULL: [u64; 2] = [100, 5_000];

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    match options.parse(&arguments) {
        Ok(matches) if matches.opt_present("help") => print!("{}", options.usage("lab [options]")),
        Ok(matches) if matches.opt_present("bench") => time_decisions(),
        Ok(matches) => measure(&matches),
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2);
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("b", "bench", "time decisions instead");
    options.optopt("s", "seeds", "seeds for each line (5)", "N");
    options.optopt("t", "seconds", "seconds of arrivals in each run (120)", "N");
    options.optopt(
        "w",
        "workload",
        "krmiva, krmiva-4p5d or qureshi (all)",
        "NAME",
    );
    options.optopt(
        "r",
        "rival",
        "only this policy; may be a comma list",
        "NAMES",
    );
    options.optopt("l", "load", "only this load, without faults", "LOAD");
    options.optopt(
        "p",
        "waste",
        "waste_percent of all rows (each workload's own)",
        "N",
    );
    options.optopt("o", "csv", "write one line a run to this file", "FILE");
    options.optflag("f", "faults", "measure faults instead of loads");
    options
}

/// One line of the table and the setup that produces it.
struct Case {
    label: String,
    setup: Setup,
}

fn measure(matches: &Matches) {
    let seeds: u64 = number(matches, "seeds", 5.0) as u64;
    let cases = cases(matches);
    let mut csv = matches
        .opt_str("csv")
        .map(|path| File::create(path).expect("the CSV file can be created"));
    if let Some(file) = &mut csv {
        let columns = summary::COLUMNS.join(",");
        writeln!(
            file,
            "workload,load,fault,waste_percent,rival,seed,{columns}"
        )
        .expect("the CSV file can be written");
    }
    println!("{}", summary::header());
    for case in cases {
        let runs = run(&case.setup, seeds);
        println!("{}", summary::line(&case.label, &runs));
        for (seed, columns) in runs.iter().enumerate() {
            if let Some(file) = &mut csv {
                writeln!(
                    file,
                    "{}",
                    summary::csv(&case.label, seed as u64 + 1, columns)
                )
                .expect("the CSV file can be written");
            }
        }
    }
}

fn number(matches: &Matches, name: &str, default: f64) -> f64 {
    matches
        .opt_str(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn cases(matches: &Matches) -> Vec<Case> {
    let span = Duration::from_secs_f64(number(matches, "seconds", 130.0));
    let only = matches.opt_str("rival");
    let wanted = |name: &str| {
        only.as_ref()
            .is_none_or(|names| names.split(',').any(|n| n == name))
    };
    let mut cases = Vec::new();
    for mut workload in [
        workload::krmiva(),
        workload::krmiva_prefill(),
        workload::qureshi(),
    ] {
        if matches
            .opt_str("workload")
            .is_some_and(|name| name != workload.name)
        {
            continue;
        }
        override_waste(matches, &mut workload);
        for (name, load, fault) in conditions(matches) {
            for rival in rival::all()
                .into_iter()
                .filter(|rival| wanted(rival.policy.name))
            {
                cases.push(case(&workload, (name, load, fault), rival, span));
            }
        }
    }
    cases
}

fn override_waste(matches: &Matches, workload: &mut Workload) {
    let percent = matches.opt_str("waste").and_then(|text| text.parse().ok());
    for class in &mut workload.classes {
        class.rule.waste_percent = percent.unwrap_or(class.rule.waste_percent);
    }
}

fn conditions(matches: &Matches) -> Vec<(&'static str, f64, Fault)> {
    if matches.opt_present("faults") {
        return Fault::ALL
            .iter()
            .map(|(name, fault)| (*name, FAULT_LOAD, *fault))
            .collect();
    }
    let only = matches.opt_str("load").and_then(|text| text.parse().ok());
    let loads = only.map_or(LOADS.to_vec(), |load| vec![load]);
    loads
        .into_iter()
        .map(|load| ("none", load, Fault::None))
        .collect()
}

fn case(
    workload: &Workload,
    (name, load, fault): (&'static str, f64, Fault),
    rival: Rival,
    span: Duration,
) -> Case {
    let waste = workload.classes[0].rule.waste_percent;
    let label = format!(
        "{} {load:.2} {name} {waste} {}",
        workload.name, rival.policy.name
    );
    let setup = Setup {
        workload: workload.clone(),
        rival,
        load,
        fault,
        seed: 0,
        span,
    };
    Case { label, setup }
}

/// Runs one case with seeds from 1, up to [`THREADS`] in parallel.
fn run(setup: &Setup, seeds: u64) -> Vec<[f64; summary::WIDTH]> {
    let results = Mutex::new(vec![[0.0; summary::WIDTH]; seeds as usize]);
    let next = Mutex::new(0..seeds);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let Some(seed) = next.lock().expect("no thread panicked").next() else {
                        return;
                    };
                    let setup = Setup {
                        seed: seed + 1,
                        ..setup.clone()
                    };
                    let columns = summary::columns(&setup.workload, &simulation::run(&setup));
                    results.lock().expect("no thread panicked")[seed as usize] = columns;
                }
            });
        }
    });
    results.into_inner().expect("no thread panicked")
}

fn time_decisions() {
    println!(
        "{:>10}{:>10}{:>10}{:>12}{:>12}",
        "replicas", "busy", "queued", "median us", "p99 us"
    );
    for replicas in REPLICAS {
        let open = BUSY.map(|busy| (busy, 0));
        let slots = (replicas - replicas / 3) * 20;
        let full = FULL.map(|queued| (slots, queued));
        for (busy, queued) in open.into_iter().chain(full) {
            let timing = bench::measure(replicas, busy, queued);
            let (median, p99) = (timing.median, timing.p99);
            println!("{replicas:>10}{busy:>10}{queued:>10}{median:>12.2}{p99:>12.2}");
        }
    }
}
