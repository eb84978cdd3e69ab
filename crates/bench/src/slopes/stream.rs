//! Memory and processor time of open streams at a real daemon.

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
/// Tokens asked for: more than come while it is measured.
const TOKENS: u32 = 100_000;
const WORDS: usize = 500;
/// Pause until all streams run.
const SETTLE: Duration = Duration::from_secs(6);
/// Pause between two streams that are opened.
const GAP: Duration = Duration::from_millis(60);
const MEGABYTE: f64 = 1_048_576.0;

/// Measures one daemon with `counts` open streams, for `span` each.
///
/// # Errors
///
/// What kept the daemon from running.
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
