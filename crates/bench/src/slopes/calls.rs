//! Measures memory and log size of a real daemon by the number of calls that it has answered.

use scenario::error::Error;

use crate::arms::ThroughDaemons;
use crate::cluster::Cluster;
use crate::cluster::Size;
use crate::load;
use crate::load::Until;
use crate::report::Report;

const COLUMNS: [&str; 4] = ["calls", "rss_MB", "log_B/call", "failed"];
const CALLERS: usize = 16;
const MEGABYTE: f64 = 1_048_576.0;

/// Measures one daemon when it has answered each of `counts` calls in total.
///
/// # Errors
///
/// If the processes cannot be started or measured.
pub async fn measure(counts: &[usize]) -> Result<Report, Error> {
    let mut report = Report::new("calls", &COLUMNS);
    let mut cluster = Cluster::start(Size::new(1)).await?;
    let through = ThroughDaemons::new(cluster.callers()?);
    let mut sent = 0;
    for count in counts {
        let logged = cluster.logged();
        let more = (*count - sent) as u64;
        let through = through.clone();
        let outcome = load::run(CALLERS, Until::Count(more), move |number| {
            let through = through.clone();
            async move { through.plain(number).await }
        })
        .await;
        sent = *count;
        let values = [
            *count as f64,
            cluster.daemons_usage()?.rss / MEGABYTE,
            (cluster.logged() - logged) / more as f64,
            outcome.failed as f64,
        ];
        report.push(&format!("{count} calls"), &values);
    }
    report.print();
    Ok(report)
}
