//! Measures the cost of requests through daemons relative to direct calls to the fake replicas.
//!
//! For each seed and each phase, the arms run in turn: direct, through one daemon, through three. The
//! program prints the median and range over the seeds of ratios and differences within a seed. The
//! programs of the workspace must have been built in the same profile.

use std::path::PathBuf;
use std::time::Duration;

use bench::arms::Direct;
use bench::arms::ThroughDaemons;
use bench::arms::prompt;
use bench::cluster::Cluster;
use bench::cluster::Size;
use bench::fit::Range;
use bench::load;
use bench::load::Outcome;
use bench::load::Until;
use bench::report::Report;
use getopts::Options;
use scenario::error::Error;
use scenario::plan::Role;
use tokio::time::sleep;

/// Sequential calls over which latency is measured.
const PLAIN_CALLS: u64 = 300;
const MODEL_CALLS: u64 = 40;
const LATENCY_TOKENS: u32 = 32;
/// Calls over which processor time is measured, and concurrent callers that send them.
const PLAIN_BATCH: u64 = 3_000;
const MODEL_BATCH: u64 = 300;
const BATCH_CALLERS: usize = 16;
const FEW_TOKENS: u32 = 8;
const MANY_TOKENS: u32 = 208;
/// Time over which the rate with each number of callers is measured.
const RATE_SPAN: Duration = Duration::from_millis(1_500);
const IDLE_SPAN: Duration = Duration::from_secs(2);
const PROMPT_WORDS: usize = 200;
const COLUMNS: [&str; 14] = [
    "plain_ms",
    "first_ms",
    "latency_failed",
    "plain_cpu_us",
    "request_cpu_us",
    "token_cpu_us",
    "app_cpu_us",
    "engine_token_us",
    "idle_cpu_pct",
    "failed",
    "rate_1",
    "rate_8",
    "rate_32",
    "rate_128",
];
const ARMS: [&str; 3] = ["direct", "1 daemon", "3 daemons"];

/// A measurement that runs on all arms before the next one.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Latency,
    Processor,
    /// Requests per second with this number of concurrent callers.
    Rate(usize),
}

const PHASES: [Phase; 6] = [
    Phase::Latency,
    Phase::Processor,
    Phase::Rate(1),
    Phase::Rate(8),
    Phase::Rate(32),
    Phase::Rate(128),
];

/// One arm of the comparison.
#[derive(Debug, Clone)]
enum Arm {
    Direct(Direct),
    Through(ThroughDaemons),
}

impl Arm {
    async fn plain(&self, callers: usize, until: Until) -> Outcome {
        match self.clone() {
            Self::Direct(arm) => {
                load::run(callers, until, move |n| {
                    let arm = arm.clone();
                    async move { arm.plain(n).await }
                })
                .await
            }
            Self::Through(arm) => {
                load::run(callers, until, move |n| {
                    let arm = arm.clone();
                    async move { arm.plain(n).await }
                })
                .await
            }
        }
    }

    async fn model(&self, callers: usize, count: u64, seed: u64, tokens: u32) -> Outcome {
        let until = Until::Count(count);
        let offset = u64::from(tokens) * 1_000_000;
        match self.clone() {
            Self::Direct(arm) => {
                load::run(callers, until, move |n| {
                    let (arm, n) = (arm.clone(), n + offset);
                    async move { arm.model(n, prompt(seed, n, PROMPT_WORDS), tokens).await }
                })
                .await
            }
            Self::Through(arm) => {
                load::run(callers, until, move |n| {
                    let (arm, n) = (arm.clone(), n + offset);
                    async move { arm.model(n, &prompt(seed, n, PROMPT_WORDS), tokens).await }
                })
                .await
            }
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    let mut options = Options::new();
    options.optopt("s", "seeds", "seeds (5)", "N");
    options.optopt("o", "csv", "folder for the CSV files", "FOLDER");
    options.optflag("h", "help", "print this help");
    match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("help") => print!("{}", options.usage("cost [options]")),
        Ok(matches) => {
            let seeds = matches.opt_get_default("seeds", 5).unwrap_or(5);
            measure(seeds, matches.opt_str("csv").map(PathBuf::from)).await?;
        }
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2);
        }
    }
    Ok(())
}

async fn measure(seeds: u64, folder: Option<PathBuf>) -> Result<(), Error> {
    let mut clusters = [
        Cluster::start(Size::new(1)).await?,
        Cluster::start(Size::new(3)).await?,
    ];
    let mut report = Report::new("cost", &COLUMNS);
    for seed in 1..=seeds {
        let arms = arms(&clusters, seed)?;
        let mut values = [(); ARMS.len()].map(|()| Vec::new());
        for phase in PHASES {
            for ((cluster, arm), values) in arms.iter().zip(&mut values) {
                let cluster = &mut clusters[*cluster];
                values.extend(measure_phase(cluster, arm, phase, seed).await?);
            }
        }
        for (label, values) in ARMS.iter().zip(&values) {
            report.push(&format!("{label} seed {seed}"), values);
        }
    }
    report.print();
    print_summary(&report);
    report.save(folder.as_deref()).map_err(|cause| Error::Io {
        step: "write",
        peer: "cost.csv".to_owned(),
        cause,
    })
}

/// The arms in the order of [`ARMS`], each with the index of its cluster.
fn arms(clusters: &[Cluster; 2], seed: u64) -> Result<[(usize, Arm); ARMS.len()], Error> {
    let [one, three] = clusters;
    let direct = Direct::new(
        &one.engines(Role::Prefill)?,
        &one.engines(Role::Decode)?,
        one.applications()?,
        seed,
    );
    Ok([
        (0, Arm::Direct(direct)),
        (0, Arm::Through(ThroughDaemons::new(one.callers()?))),
        (1, Arm::Through(ThroughDaemons::new(three.callers()?))),
    ])
}

/// Measures one arm in one phase; the values of all phases together are in the order of [`COLUMNS`].
async fn measure_phase(
    cluster: &mut Cluster,
    arm: &Arm,
    phase: Phase,
    seed: u64,
) -> Result<Vec<f64>, Error> {
    match phase {
        Phase::Latency => {
            let plain = arm.plain(1, Until::Count(PLAIN_CALLS)).await;
            let model = arm.model(1, MODEL_CALLS, seed, LATENCY_TOKENS).await;
            let failed = plain.failed + model.failed;
            Ok(vec![plain.first_ms(), model.first_ms(), failed as f64])
        }
        Phase::Processor => measure_cpu(cluster, arm, seed).await,
        Phase::Rate(callers) => {
            let outcome = arm.plain(callers, Until::Time(RATE_SPAN)).await;
            Ok(vec![outcome.rate()])
        }
    }
}

/// Measures processor time of the daemons and of the fake replicas.
async fn measure_cpu(cluster: &mut Cluster, arm: &Arm, seed: u64) -> Result<Vec<f64>, Error> {
    let idle = measure_idle_cpu(cluster).await?;
    let plain = arm.plain(BATCH_CALLERS, Until::Count(PLAIN_BATCH));
    let (plain, plain_cpu, app_cpu) = measure_load_cpu(cluster, idle, Role::Plain, plain).await?;
    let few = arm.model(BATCH_CALLERS, MODEL_BATCH, seed, FEW_TOKENS);
    let (few, few_cpu, few_engine) = measure_load_cpu(cluster, idle, Role::Decode, few).await?;
    let many = arm.model(BATCH_CALLERS, MODEL_BATCH, seed, MANY_TOKENS);
    let (many, many_cpu, many_engine) = measure_load_cpu(cluster, idle, Role::Decode, many).await?;
    let more = (many.tokens - few.tokens) as f64;
    let token = (many_cpu - few_cpu) / more;
    let request = (few_cpu - token * few.tokens as f64) / few.answered as f64;
    let failed = plain.failed + few.failed + many.failed;
    Ok(vec![
        plain_cpu / plain.answered as f64 * 1e6,
        request * 1e6,
        token * 1e6,
        app_cpu / plain.answered as f64 * 1e6,
        (many_engine - few_engine) / more * 1e6,
        idle * 100.0,
        failed as f64,
    ])
}

/// Processor time of all daemons per second without requests.
async fn measure_idle_cpu(cluster: &mut Cluster) -> Result<f64, Error> {
    let before = cluster.daemons_usage()?;
    sleep(IDLE_SPAN).await;
    let used = cluster.daemons_usage()?.since(before);
    Ok(used.cpu / IDLE_SPAN.as_secs_f64())
}

/// Runs `load`; returns its outcome, the daemons' processor time beyond `idle`, and that of the
/// replicas of `role`.
async fn measure_load_cpu(
    cluster: &mut Cluster,
    idle: f64,
    role: Role,
    load: impl Future<Output = Outcome>,
) -> Result<(Outcome, f64, f64), Error> {
    let daemons = cluster.daemons_usage()?;
    let backends = cluster.backends_usage(role)?;
    let outcome = load.await;
    let daemons = cluster.daemons_usage()?.since(daemons).cpu;
    let backends = cluster.backends_usage(role)?.since(backends).cpu;
    let idle = idle * outcome.elapsed.as_secs_f64();
    Ok((outcome, daemons - idle, backends))
}

/// Prints each arm relative to the direct one of the same seed.
fn print_summary(report: &Report) {
    println!("\nmedian [least..most] over the seeds");
    let column = |name: &str, arm: usize| -> Vec<f64> {
        let values = report.column(name);
        values.into_iter().skip(arm).step_by(ARMS.len()).collect()
    };
    let pairs = |name: &str, arm: usize, other: &str, with: fn(f64, f64) -> f64| {
        let values = column(name, arm).into_iter().zip(column(other, 0));
        let values: Vec<f64> = values
            .map(|(through, direct)| with(through, direct))
            .collect();
        Range::new(&values)
    };
    for (arm, label) in ARMS.iter().enumerate().skip(1) {
        println!("{label}");
        for name in ["plain_ms", "first_ms"] {
            let ratio = pairs(name, arm, name, |through, direct| through / direct);
            let added = pairs(name, arm, name, |through, direct| through - direct);
            println!("  {name}: {ratio} times direct, {added} ms added");
        }
        for name in ["rate_1", "rate_8", "rate_32", "rate_128"] {
            let ratio = pairs(name, arm, name, |through, direct| through / direct);
            let own = Range::new(&column(name, arm));
            println!("  {name}: {ratio} of direct ({own} requests/s)");
        }
        for (name, other) in [
            ("plain_cpu_us", "app_cpu_us"),
            ("token_cpu_us", "engine_token_us"),
        ] {
            let ratio = pairs(name, arm, other, |through, direct| through / direct);
            let own = Range::new(&column(name, arm));
            println!("  {name}: {own} us, {ratio} times the stand-in's own {other}");
        }
        println!(
            "  request_cpu_us: {} us",
            Range::new(&column("request_cpu_us", arm))
        );
        println!(
            "  idle_cpu_pct: {} % of a core, all daemons",
            Range::new(&column("idle_cpu_pct", arm))
        );
        for name in ["latency_failed", "failed"] {
            println!("  {name}: {}", Range::new(&column(name, arm)));
        }
    }
}
