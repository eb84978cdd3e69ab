//! Measures memory, processor time and bytes of real daemons by the number of daemons and of listed
//! replicas.

use std::time::Duration;

use http::Method;
use scenario::error::Error;
use scenario::http_client::HttpClient;
use scenario::list;
use scenario::list::List;
use scenario::list::State;
use scenario::plan::PLATFORM;
use scenario::plan::Role;
use scenario::plan::Timing;
use tokio::time::sleep;

use crate::arms::ThroughDaemons;
use crate::cluster;
use crate::cluster::Cluster;
use crate::cluster::Size;
use crate::load;
use crate::report::Report;

const DAEMON_COLUMNS: [&str; 10] = [
    "daemons",
    "rss_MB",
    "cpu_pct",
    "sent_B/s",
    "frames/s",
    "files",
    "reads/s",
    "busy_pct",
    "call_cpu_us",
    "failed",
];
const REPLICA_COLUMNS: [&str; 6] = [
    "replicas",
    "inspect_ms",
    "rss_MB",
    "cpu_pct",
    "sent_KB/s",
    "list_KB",
];
/// Pause after the start, and after a new list.
const SETTLE: Duration = Duration::from_secs(5);
/// Plain calls per second at each daemon under load.
const RATE: f64 = 20.0;
/// Pools, to which the listed replicas are assigned in turn.
const POOLS: usize = 14;
/// Inspection interval that is longer than any measurement.
const NEVER_MS: u64 = 3_600_000;
const MEGABYTE: f64 = 1_048_576.0;

/// Measures each of `sizes` daemons, idle for `span` and then under load for `span`.
///
/// # Errors
///
/// If the processes cannot be started or measured.
pub async fn daemons(sizes: &[usize], span: Duration) -> Result<Report, Error> {
    let mut report = Report::new("daemons", &DAEMON_COLUMNS);
    for size in sizes {
        let values = measure_daemons(*size, span).await?;
        report.push(&format!("{size} daemons"), &values);
    }
    report.print();
    for column in [
        "rss_MB", "cpu_pct", "sent_B/s", "frames/s", "files", "reads/s",
    ] {
        report.print_fit("daemons", column);
    }
    Ok(report)
}

async fn measure_daemons(size: usize, span: Duration) -> Result<Vec<f64>, Error> {
    let mut cluster = Cluster::start(Size::new(size).with_backends(1, 1)).await?;
    sleep(SETTLE).await;
    let (frames, reads) = (cluster.frames().await?, cluster.store_calls().await?.0);
    let (usage, logged) = (cluster.daemons_usage()?, cluster.logged());
    sleep(span).await;
    let used = cluster.daemons_usage()?.since(usage);
    let logged = cluster.logged() - logged;
    let frames = cluster.frames().await? - frames;
    let reads = cluster.store_calls().await?.0 - reads;
    let files = cluster.descriptors(0)?;

    let through = ThroughDaemons::new(cluster.callers()?);
    let usage = cluster.daemons_usage()?;
    let load = load::run_at_rate(RATE * size as f64, span, move |number| {
        let through = through.clone();
        async move { through.plain(number).await }
    })
    .await;
    let busy = cluster.daemons_usage()?.since(usage);
    let seconds = span.as_secs_f64();
    let each = size as f64 * seconds;
    let calls = load.answered as f64;
    Ok(vec![
        size as f64,
        used.rss / MEGABYTE / size as f64,
        used.cpu / each * 100.0,
        (used.written - logged) / each,
        frames / each,
        files as f64,
        reads / seconds,
        busy.cpu / each * 100.0,
        (busy.cpu - used.cpu) / calls * 1e6,
        load.failed as f64,
    ])
}

/// Measures one daemon with each of `counts` listed replicas, with and without inspections.
///
/// The listed replicas are a few fake ones under many names.
///
/// # Errors
///
/// If the processes cannot be started or measured.
pub async fn replicas(counts: &[usize], span: Duration) -> Result<Report, Error> {
    let mut report = Report::new("replicas", &REPLICA_COLUMNS);
    for inspect_ms in [Timing::default().inspect_ms, NEVER_MS] {
        for count in counts {
            let values = measure_replicas(*count, inspect_ms, span).await?;
            report.push(&format!("{count} replicas {inspect_ms} ms"), &values);
        }
    }
    report.print();
    Ok(report)
}

async fn measure_replicas(
    count: usize,
    inspect_ms: u64,
    span: Duration,
) -> Result<Vec<f64>, Error> {
    let timing = Timing {
        inspect_ms,
        ..Timing::default()
    };
    let size = Size {
        timing,
        ..Size::new(1).with_backends(3, 1)
    };
    let mut cluster = Cluster::start(size).await?;
    let bytes = publish(&cluster, count).await?;
    sleep(SETTLE).await;
    let (usage, logged) = (cluster.daemons_usage()?, cluster.logged());
    sleep(span).await;
    let used = cluster.daemons_usage()?.since(usage);
    let logged = cluster.logged() - logged;
    let seconds = span.as_secs_f64();
    Ok(vec![
        count as f64,
        inspect_ms as f64,
        used.rss / MEGABYTE,
        used.cpu / seconds * 100.0,
        (used.written - logged) / seconds / 1_024.0,
        bytes as f64 / 1_024.0,
    ])
}

/// Lists `count` replicas; returns the size of the list in bytes as a daemon reads it.
async fn publish(cluster: &Cluster, count: usize) -> Result<usize, Error> {
    let engines = [
        cluster.engines(Role::Prefill)?,
        cluster.engines(Role::Decode)?,
    ];
    let listen = cluster.fleet.daemon(&cluster::daemon(0))?;
    let list = List {
        instances: vec![list::Instance {
            name: cluster::daemon(0),
            data_centre: "osijek-a".to_owned(),
            peer: listen.peer.clone(),
            caller: listen.caller.clone(),
            state: State::Live,
        }],
        replicas: (0..count).map(|index| replica(index, &engines)).collect(),
        ..List::default()
    };
    let web = HttpClient::new();
    let platform = cluster.fleet.backend_address(PLATFORM)?;
    let body = serde_json::to_value(&list).unwrap_or_default();
    let request = web.request(Method::POST, platform, "/control/list");
    web.send(request.json(&body), platform).await?;
    let read = web.get(platform, "/v1/list?for=bench").await?;
    Ok(read.body.len())
}

fn replica(index: usize, engines: &[Vec<String>; 2]) -> list::Replica {
    let (role, addresses) = if (index / POOLS).is_multiple_of(3) {
        (Role::Prefill, &engines[0])
    } else {
        (Role::Decode, &engines[1])
    };
    list::Replica {
        name: format!("engine-{index}"),
        data_centre: format!("centre-{}", index % 11),
        address: addresses[index % addresses.len()].clone(),
        service: format!("model-{}", index % POOLS),
        role: role.as_str().to_owned(),
        slots: 20,
        fences: true,
        state: State::Live,
    }
}
