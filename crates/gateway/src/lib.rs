//! The gateway daemon: relays callers' requests to replicas on the users' platform.
//!
//! The `relay` crate makes the decisions, the `platform` crate translates names and formats of the
//! platform; this crate holds sockets, timers, settings, logs and metrics. All work but the writing
//! of log lines is done on one thread.

pub mod answers;
pub mod auxiliary;
pub mod begins;
pub mod body;
pub mod bounds;
pub mod callers;
pub mod clock;
pub mod codec;
pub mod connections;
pub mod control;
pub mod ending;
pub mod exchange;
pub mod forward;
pub mod gossip;
pub mod guard;
pub mod handoff;
pub mod instance_info;
pub mod job;
pub mod limit;
pub mod listen;
pub mod members;
pub mod memory;
pub mod metrics;
pub mod migration;
pub mod move_order;
pub mod outbox;
pub mod paces;
pub mod pacing;
pub mod peer_server;
pub mod phase;
pub mod placement;
pub mod plain;
pub mod poller_status;
pub mod prefill;
pub mod presence;
pub mod probes;
pub mod progress;
pub mod quarantine;
pub mod quota;
pub mod quotas;
pub mod reach_probe;
pub mod reading;
pub mod reload;
pub mod responses;
pub mod run_tracking;
pub mod search;
pub mod send;
pub mod settings;
pub mod shared;
pub mod stages;
pub mod stop;
pub mod store;
pub mod stream;
pub mod target;
pub mod version_stages;
pub mod wait_queue;
pub mod watch;

use std::io;
use std::panic;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use boottime::timer::SuspendDetector;
use boottime::timer::sleep;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use launch::error::Error;
use launch::listen::bind;
use logs::queue::LineCounters;
use logs::queue::Queue;
use relay::plan::Limits;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::bounds::Bounds;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::stop::Signals;

/// Log levels: everything of this product, warnings of its libraries.
const LEVELS: &str = "warn, gateway=info, waxwing_gateway=info";
/// Upper bound of the random numbers that identify a run of an instance in its log lines.
const MAX_RUN_ID: u32 = 1 << 24;
/// Interval between checks of idle connections and readiness.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(100);
/// Timeout for writing the last log lines; the reader of the output may be gone.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between the last log line and the end of the process. Collectors that poll the output drop
/// what is unread when the process ends: without the pause the line "stopped" was lost in 7 of 7
/// stops.
const COLLECTOR_PAUSE: Duration = Duration::from_millis(50);
/// Duration of a housekeeping sleep above which a pause of the process is logged.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Limits of the servers for addresses, readiness and metrics.
const AUXILIARY: Bounds = Bounds {
    header_bytes: 8 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Runs the daemon until it is stopped by a signal.
///
/// # Errors
/// If it cannot start.
pub fn run(settings: Settings, path: &Path) -> Result<(), Error> {
    let (_logs, lines) = start_logs(&settings.instance)?;
    let metrics =
        Metrics::new(Arc::clone(&lines)).map_err(|error| start_error("metrics", &error))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| start_error("runtime", &error))?;
    let shared = Rc::new(Shared::new(settings, metrics));
    let served = LocalSet::new().block_on(&runtime, serve(shared, path));
    lines.wait_until_written(LOG_FLUSH_TIMEOUT);
    std::thread::sleep(COLLECTOR_PAUSE);
    served
}

async fn serve(shared: Rc<Shared>, path: &Path) -> Result<(), Error> {
    // First, since a signal that arrives before its handler is installed kills the process.
    let signals = Signals::new()?;
    let settings = shared.settings();
    log::info!(kind = "start", data_centre = settings.data_centre, version = env!("CARGO_PKG_VERSION"); "starting");
    let listen = &settings.listen;
    let callers = bind("callers", listen.callers).await?;
    let addresses = bind("addresses", listen.addresses).await?;
    let readiness = bind("readiness", listen.readiness).await?;
    let metrics = bind("metrics", listen.metrics).await?;
    let peers = bind("peers", listen.peers).await?;

    let state = Rc::clone(&shared);
    let bounds = Rc::clone(&shared);
    spawn_local(listen::serve(
        callers,
        move || caller_bounds(&bounds),
        shared.metrics.floods.counter("caller"),
        move |request| callers::serve(Rc::clone(&state), request),
    ));
    let state = Rc::clone(&shared);
    spawn_local(listen::serve(
        addresses,
        || AUXILIARY,
        shared.metrics.floods.counter("caller"),
        move |request| std::future::ready(auxiliary::addresses(&state, &request)),
    ));
    let state = Rc::clone(&shared);
    spawn_local(listen::serve(
        readiness,
        || AUXILIARY,
        shared.metrics.floods.counter("caller"),
        move |request| std::future::ready(auxiliary::readiness(&state, &request)),
    ));
    let state = Rc::clone(&shared);
    spawn_local(listen::serve(
        metrics,
        || AUXILIARY,
        shared.metrics.floods.counter("caller"),
        move |_| std::future::ready(auxiliary::metrics(&state)),
    ));
    spawn_local(peer_server::run(Rc::clone(&shared), peers));
    spawn_local(exchange::poll_peers(Rc::clone(&shared)));
    spawn_local(watch::follow_plan(Rc::clone(&shared)));
    spawn_local(watch::follow_replicas(Rc::clone(&shared)));
    spawn_local(watch::instances::follow(Rc::clone(&shared)));
    spawn_local(watch::rewriting::run(Rc::clone(&shared)));
    spawn_local(stages::run(Rc::clone(&shared)));
    spawn_local(run_tracking::run(Rc::clone(&shared)));
    spawn_local(reach_probe::run(Rc::clone(&shared)));
    if settings.version_records {
        spawn_local(begins::lifetime::run(Rc::clone(&shared)));
        spawn_local(begins::storage::run(Rc::clone(&shared)));
        spawn_local(begins::saving::run(Rc::clone(&shared)));
        spawn_local(begins::cleanup::run(Rc::clone(&shared)));
    }
    spawn_local(quarantine::probe::run(Rc::clone(&shared)));
    spawn_local(quarantine::announce::run(Rc::clone(&shared)));
    spawn_local(quarantine::clear::run(Rc::clone(&shared)));
    spawn_local(quarantine::storage::run(Rc::clone(&shared)));
    spawn_local(quarantine::rewriting::run(Rc::clone(&shared)));
    spawn_local(quarantine::remove_expired(Rc::clone(&shared)));
    // At the first start of the whole system no peer has records.
    if settings.first_start {
        shared.note_all_records();
    } else {
        spawn_local(quarantine::fetch_records(Rc::clone(&shared)));
    }
    spawn_local(reload::follow(Rc::clone(&shared), path.to_owned()));
    spawn_local(housekeeping(Rc::clone(&shared)));
    let state = Rc::clone(&shared);
    spawn_local(async move {
        if let Err(error) = gossip::run(state).await {
            log::error!(kind = "gossip", cause = error.to_string(); "failed to open the socket for gossip; membership is off");
        }
    });
    stop::wait(&shared, path, signals).await;
    Ok(())
}

/// Joins the fleet once ready, closes idle connections, and logs pauses and suspensions of the
/// process.
async fn housekeeping(shared: Rc<Shared>) {
    let mut suspensions = SuspendDetector::new();
    loop {
        let joined = shared.members.borrow().joined();
        if !joined && shared.is_ready() {
            let now = shared.clock.now();
            shared.members.borrow_mut().join(now, clock::unix().0);
            log::info!(kind = "ready", plan = shared.plan_version(); "taking callers");
        }
        shared.connections.close_expired();
        shared.peers.remove_expired();
        begins::announce_due(&shared).await;
        let now = shared.clock.now();
        shared.begins.borrow_mut().remove_expired(now);
        shared.note_running();
        let started = shared.clock.now();
        sleep(HOUSEKEEPING_PERIOD).await;
        if let Some(time) = suspensions.check() {
            log::warn!(kind = "suspended", ms = time.as_millis() as u64; "the machine was suspended");
        }
        let slept = shared.clock.now().since(started);
        shared.record_delay(slept.saturating_sub(HOUSEKEEPING_PERIOD));
        if slept > PAUSE_THRESHOLD {
            log::warn!(kind = "pause", ms = slept.as_millis() as u64, open = shared.open_requests() as u64; "the process stood still");
        }
    }
}

fn caller_bounds(shared: &Shared) -> Bounds {
    let limits = shared
        .plan()
        .map_or_else(Limits::default, |plan| plan.limits);
    Bounds {
        header_bytes: limits.header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

/// Starts logging; returns the logger's handle and the line counters.
fn start_logs(instance: &str) -> Result<(LoggerHandle, Arc<LineCounters>), Error> {
    let run = format!("{:06x}", rand::random_range(0..MAX_RUN_ID));
    let queue = Queue::new(Box::new(io::stdout()), instance.to_owned(), run)
        .map_err(|error| start_error("logs", &error))?;
    let count = queue.counters();
    let handle = LogSpecification::parse(LEVELS)
        .map(Logger::with)
        .and_then(|logger| logger.log_to_writer(Box::new(queue)).start())
        .map_err(|error| start_error("logs", &error))?;
    log_panics();
    Ok((handle, count))
}

/// Logs each panic, which ends only its task: the process runs on without what the task did.
fn log_panics() {
    let write = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log::error!(kind = "panic", cause = info.to_string(); "a task ended by a panic");
        write(info);
    }));
}

fn start_error(step: &'static str, cause: &impl ToString) -> Error {
    Error::Start {
        step,
        cause: cause.to_string(),
    }
}
