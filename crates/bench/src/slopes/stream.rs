//! Measures memory and processor time of a real daemon by the number of open streams.

use std::time::Duration;

use scenario::error::Error;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::arms::ThroughDaemons;
use crate::arms::prompt;
use crate::cluster::Cluster;
use crate::cluster::Size;
use crate::report::Report;

const COLUMNS: [&str; 5] = ["streams", "rss_MB", "cpu_pct", "files", "tokens/s"];
/// Time between two tokens of a stream.
const TOKEN: Duration = Duration::from_millis(40);
/// Tokens requested per stream; more than are generated during a measurement.
const TOKENS: u32 = 100_000;
const WORDS: usize = 500;
/// Pause after the last stream is opened, until all are running.
const SETTLE: Duration = Duration::from_secs(6);
/// Pause between the opening of two streams.
const GAP: Duration = Duration::from_millis(60);
const MEGABYTE: f64 = 1_048_576.0;

/// Measures one daemon with each of `counts` open streams for `span`.
///
/// # Errors
///
/// If the processes cannot be started or measured.
pub async fn measure(counts: &[usize], span: Duration) -> Result<Report, Error> {
    let mut report = Report::new("streams", &COLUMNS);
    for count in counts {
        let values = measure_one(*count, span).await?;
        report.push(&format!("{count} streams"), &values);
    }
    report.print();
    for column in ["rss_MB", "cpu_pct", "files"] {
        report.print_fit("streams", column);
    }
    Ok(report)
}

async fn measure_one(count: usize, span: Duration) -> Result<Vec<f64>, Error> {
    let mut cluster = Cluster::start(Size::new(1).with_token(TOKEN)).await?;
    let through = ThroughDaemons::new(cluster.callers()?);
    let mut streams = JoinSet::new();
    for number in 0..count as u64 {
        let through = through.clone();
        streams.spawn(async move {
            through
                .model(number, &prompt(1, number, WORDS), TOKENS)
                .await
        });
        sleep(GAP).await;
    }
    sleep(SETTLE).await;
    let usage = cluster.daemons_usage()?;
    sleep(span).await;
    let used = cluster.daemons_usage()?.since(usage);
    let files = cluster.descriptors(0)?;
    let mut open = count;
    while streams.try_join_next().is_some() {
        open -= 1;
    }
    let seconds = span.as_secs_f64();
    Ok(vec![
        open as f64,
        used.rss / MEGABYTE,
        used.cpu / seconds * 100.0,
        files as f64,
        open as f64 / TOKEN.as_secs_f64(),
    ])
}
