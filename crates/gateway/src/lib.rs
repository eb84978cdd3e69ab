//! The daemon that relays callers' requests on the users' platform.
//!
//! Decisions are made by the `relay` crate, names and formats of the platform are translated by the
//! `platform` crate; here are sockets, timers, settings, logs and metrics. One thread does all work
//! but the writing of log lines.

pub mod auxiliary;
pub mod body;
pub mod callers;
pub mod card;
pub mod clock;
pub mod connections;
pub mod control;
pub mod exchange;
pub mod forward;
pub mod gossip;
pub mod guard;
pub mod inquiries;
pub mod job;
pub mod limit;
pub mod listen;
pub mod members;
pub mod metrics;
pub mod migration;
pub mod news;
pub mod outbox;
pub mod phase;
pub mod placement;
pub mod plain;
pub mod prefill;
pub mod quarantine;
pub mod quota;
pub mod quotas;
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
pub mod wait_queue;
pub mod watch;

use std::io;
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
use logs::queue::Count;
use logs::queue::Queue;
use relay::plan::Limits;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::listen::Bounds;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::stop::Signals;

/// What is logged: everything of this product, warnings of its libraries.
const LEVELS: &str = "warn, gateway=info, waxwing_gateway=info";
/// Bound of the numbers that tell the runs of an instance apart in its log lines.
const MAX_RUN: u32 = 1 << 24;
/// Time between two looks after idle connections and readiness.
const HOUSEKEEPING: Duration = Duration::from_millis(100);
/// Time that the last log lines of the process get; nobody may be reading them.
const LAST_LINES: Duration = Duration::from_millis(200);
/// Pause between the last line and the end of the process, for collectors that read its output from
/// time to time and drop what is left at its end: without it the line that it stopped was lost in 7
/// of 7 stops.
const COLLECTOR_PAUSE: Duration = Duration::from_millis(50);
/// Sleep of the housekeeping from which on the process is said to have stood still.
const PAUSED: Duration = Duration::from_secs(1);
/// Bounds of the servers that callers send no requests to.
const ASIDE: Bounds = Bounds {
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
    let metrics = Metrics::new(Arc::clone(&lines)).map_err(|error| start("metrics", &error))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| start("runtime", &error))?;
    let shared = Rc::new(Shared::new(settings, metrics));
    let served = LocalSet::new().block_on(&runtime, serve(shared, path));
    lines.settle(LAST_LINES);
    std::thread::sleep(COLLECTOR_PAUSE);
    served
}

async fn serve(shared: Rc<Shared>, path: &Path) -> Result<(), Error> {
    // Before anything that takes time: a signal that comes earlier ends the process.
    let signals = Signals::new()?;
    let settings = shared.settings();
    log::info!(kind = "start", data_centre = settings.data_centre, version = env!("CARGO_PKG_VERSION"); "starting");
    let listen = &settings.listen;
    let callers = bind("callers", listen.callers).await?;
    let addresses = bind("addresses", listen.addresses).await?;
    let readiness = bind("readiness", listen.readiness).await?;
    let metrics = bind("metrics", listen.metrics).await?;
    let peers = bind("peers", listen.peers).await?;

    let own = Rc::clone(&shared);
    let bounds = Rc::clone(&shared);
    spawn_local(listen::serve(
        callers,
        move || bounds_of(&bounds),
        move |request| callers::serve(Rc::clone(&own), request),
    ));
    let own = Rc::clone(&shared);
    spawn_local(listen::serve(
        addresses,
        || ASIDE,
        move |request| std::future::ready(auxiliary::addresses(&own, &request)),
    ));
    let own = Rc::clone(&shared);
    spawn_local(listen::serve(
        readiness,
        || ASIDE,
        move |request| std::future::ready(auxiliary::readiness(&own, &request)),
    ));
    let own = Rc::clone(&shared);
    spawn_local(listen::serve(
        metrics,
        || ASIDE,
        move |_| std::future::ready(auxiliary::metrics(&own)),
    ));
    spawn_local(exchange::serve(Rc::clone(&shared), peers));
    spawn_local(exchange::follow(Rc::clone(&shared)));
    spawn_local(watch::plan(Rc::clone(&shared)));
    spawn_local(watch::replicas(Rc::clone(&shared)));
    spawn_local(watch::instances::follow(Rc::clone(&shared)));
    spawn_local(stages::run(Rc::clone(&shared)));
    spawn_local(run_tracking::run(Rc::clone(&shared)));
    spawn_local(quarantine::inquiry::run(Rc::clone(&shared)));
    spawn_local(quarantine::tell::run(Rc::clone(&shared)));
    spawn_local(quarantine::kept::run(Rc::clone(&shared)));
    spawn_local(quarantine::sweep(Rc::clone(&shared)));
    // Nobody has records when all start together for the first time.
    if !settings.first_start {
        spawn_local(quarantine::catch_up(Rc::clone(&shared)));
    }
    spawn_local(reload::follow(Rc::clone(&shared), path.to_owned()));
    spawn_local(housekeeping(Rc::clone(&shared)));
    let own = Rc::clone(&shared);
    spawn_local(async move {
        if let Err(error) = gossip::run(own).await {
            log::error!(kind = "gossip", cause = error.to_string(); "membership is off");
        }
    });
    stop::wait(&shared, path, signals).await;
    Ok(())
}

/// Becomes a member once ready, and closes connections that were idle for too long.
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
        let begun = shared.clock.now();
        sleep(HOUSEKEEPING).await;
        if let Some(time) = suspensions.check() {
            log::warn!(kind = "suspended", ms = time.as_millis() as u64; "the machine was suspended");
        }
        let slept = shared.clock.now().since(begun);
        shared.note_late(slept.saturating_sub(HOUSEKEEPING));
        if slept > PAUSED {
            log::warn!(kind = "pause", ms = slept.as_millis() as u64, open = shared.open() as u64; "the process stood still");
        }
    }
}

fn bounds_of(shared: &Shared) -> Bounds {
    let limits = shared
        .plan()
        .map_or_else(Limits::default, |plan| plan.limits);
    Bounds {
        header_bytes: limits.header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

/// Starts the logs; gives their handle and the counts of lines.
fn start_logs(instance: &str) -> Result<(LoggerHandle, Arc<Count>), Error> {
    let run = format!("{:06x}", rand::random_range(0..MAX_RUN));
    let queue = Queue::new(Box::new(io::stdout()), instance.to_owned(), run)
        .map_err(|error| start("logs", &error))?;
    let count = queue.count();
    let handle = LogSpecification::parse(LEVELS)
        .map(Logger::with)
        .and_then(|logger| logger.log_to_writer(Box::new(queue)).start())
        .map_err(|error| start("logs", &error))?;
    Ok((handle, count))
}

fn start(step: &'static str, cause: &impl ToString) -> Error {
    Error::Start {
        step,
        cause: cause.to_string(),
    }
}
