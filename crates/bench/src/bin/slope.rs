//! Measures how state, messages and processor time of each role of a daemon grow.
//!
//! `daemons`, `replicas`, `streams` and `calls` run real daemons on loopback, whose programs must have
//! been built in the same profile; the others run the decision core in virtual time.

use std::path::PathBuf;
use std::time::Duration;

use bench::report::Report;
use bench::slopes::calls;
use bench::slopes::cut;
use bench::slopes::edits;
use bench::slopes::frames;
use bench::slopes::keeper;
use bench::slopes::keeper::Load;
use bench::slopes::keys;
use bench::slopes::members;
use bench::slopes::process;
use bench::slopes::restarts;
use bench::slopes::stream;
use getopts::Matches;
use getopts::Options;
use scenario::error::Error;

/// Pools, replicas, daemons and requests per second of the design size.
const POOLS: usize = 14;
const REPLICAS: usize = 930;
const DAEMONS: usize = 400;
const RATE: f64 = 11_000.0;
/// Replicas of one pool at the design size.
const POOL_REPLICAS: usize = 66;
const HELP: &str = "slope [options] ROLE
roles: members, edits, keeper, rate, letter, restarts, cut, keys, frames (virtual time);
       daemons, replicas, streams, calls (real daemons)";

#[tokio::main]
async fn main() -> Result<(), Error> {
    let options = options();
    match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("help") || matches.free.len() != 1 => {
            print!("{}", options.usage(HELP));
        }
        Ok(matches) => {
            let report = measure(&matches).await?;
            let folder = matches.opt_str("csv").map(PathBuf::from);
            report.save(folder.as_deref()).map_err(|cause| Error::Io {
                step: "write",
                peer: "the CSV file".to_owned(),
                cause,
            })?;
        }
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2);
        }
    }
    Ok(())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("n", "sizes", "comma list of sizes", "N,N,...");
    options.optopt("t", "seconds", "seconds measured for each size (10)", "N");
    options.optopt(
        "r",
        "replicas",
        "replicas on the list of `members` (0)",
        "N",
    );
    options.optopt("d", "daemons", "daemons of `restarts` (400)", "N");
    options.optopt("s", "seed", "seed (1)", "N");
    options.optopt("o", "csv", "folder for the CSV files", "FOLDER");
    options.optflag("h", "help", "print this help");
    options
}

async fn measure(matches: &Matches) -> Result<Report, Error> {
    let number =
        |name: &str, default: usize| matches.opt_get_default(name, default).unwrap_or(default);
    let seed = number("seed", 1) as u64;
    let span = Duration::from_secs(number("seconds", 10) as u64);
    let sizes = |default: &[usize]| sizes(matches, default);
    let report = match matches.free[0].as_str() {
        "members" => {
            let replicas = number("replicas", 0);
            members::measure(&sizes(&[9, 50, 100, 400]), span, replicas, POOLS, seed)
        }
        "edits" => edits::measure(&sizes(&[9, 50, 66, 80, 100, 400]), &[100, 4_096], seed),
        "keeper" => keeper_by_replicas(&sizes(&[12, 66, 200, 465, 930]), span, seed),
        "rate" => keeper_by_rate(&sizes(&[50, 100, 200, 400, 800]), span, seed),
        "letter" => design_size(span, seed),
        "restarts" => restarts::measure(
            number("daemons", DAEMONS),
            &sizes(&[1, 10, 36, 140, 400]),
            seed,
        ),
        "cut" => cut::measure(&sizes(&[33, 99, 400]), seed),
        "keys" => keys::measure(&sizes(&[16_384, 32_768, 65_536, 131_072])),
        "frames" => frames::measure(&sizes(&[0, 8, 64]), &[100, 1_000, 4_096]),
        "daemons" => process::daemons(&sizes(&[3, 6, 9, 15, 30]), span).await?,
        "replicas" => process::replicas(&sizes(&[10, 66, 200, 465, 930]), span).await?,
        "streams" => stream::measure(&sizes(&[25, 50, 100, 200, 400]), span).await?,
        "calls" => calls::measure(&sizes(&[1_000, 2_000, 4_000, 8_000, 16_000, 32_000])).await?,
        other => {
            eprintln!("unknown role `{other}`\n{HELP}");
            std::process::exit(2);
        }
    };
    Ok(report)
}

fn sizes(matches: &Matches, default: &[usize]) -> Vec<usize> {
    let given = matches.opt_str("sizes");
    let given = given.map(|text| {
        text.split(',')
            .filter_map(|size| size.parse().ok())
            .collect()
    });
    given.unwrap_or_else(|| default.to_vec())
}

/// A load on one pool with nine daemons.
const fn load(replicas: usize, rate: f64) -> Load {
    Load {
        daemons: 9,
        replicas,
        pools: 1,
        rate,
        blocks: 8,
        tokens: 100,
    }
}

fn keeper_by_replicas(sizes: &[usize], span: Duration, seed: u64) -> Report {
    let loads: Vec<Load> = sizes.iter().map(|replicas| load(*replicas, 10.0)).collect();
    let report = keeper::measure("keeper-replicas", &loads, span, seed);
    report.print_fit("replicas", "keeper_pct");
    report.print_fit("replicas", "keeper_KB/s");
    report
}

fn keeper_by_rate(sizes: &[usize], span: Duration, seed: u64) -> Report {
    let loads: Vec<Load> = sizes
        .iter()
        .map(|rate| load(POOL_REPLICAS, *rate as f64))
        .collect();
    let report = keeper::measure("keeper-rate", &loads, span, seed);
    report.print_fit("rate", "keeper_msg/s");
    report.print_fit("rate", "keeper_KB/s");
    report.print_fit("rate", "keeper_pct");
    report
}

/// Measures the full design size with the rate in three steps.
fn design_size(span: Duration, seed: u64) -> Report {
    let loads = [0.25, 0.5, 1.0].map(|part| Load {
        daemons: DAEMONS,
        replicas: REPLICAS,
        pools: POOLS,
        rate: RATE * part,
        blocks: 8,
        tokens: 100,
    });
    let report = keeper::measure("letter", &loads, span, seed);
    report.print_fit("rate", "keeper_KB/s");
    report.print_fit("rate", "keeper_pct");
    report
}
