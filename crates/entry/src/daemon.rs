//! Builds the components of the daemon and runs them.

use std::sync::Arc;
use std::time::Duration;

use boottime::timer::sleep;
use ident::Incarnation;
use ident::Instance;
use ident::Zone;
use launch::error::Error;
use launch::listen::bind;
use node::Node;
use node::settings::Settings;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use crate::admin;
use crate::backends::Backends;
use crate::budget::Budget;
use crate::callers;
use crate::clock;
use crate::clock::Clock;
use crate::config::Config;
use crate::directory::Directory;
use crate::driver::Driver;
use crate::driver::Outputs;
use crate::driver::inbox::Inbox;
use crate::listen::Listener;
use crate::logs;
use crate::logs::RecentDecisions;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Peers;
use crate::platform;
use crate::platform::Platform;
use crate::stop;
use crate::stop::Stop;

/// Memory for all request bodies, in bytes.
const BODY_MEMORY_BYTES: usize = 256 << 20;
/// Time for the last frames to peers to be sent before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// The sockets that a daemon listens on.
struct Sockets {
    caller: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

/// What the components share.
struct Components {
    inbox: Inbox,
    directory: Arc<Directory>,
    metrics: Arc<Metrics>,
    recent: Arc<RecentDecisions>,
    client: store::Client,
    stop: Stop,
}

/// Runs the daemon until a planned stop has ended.
///
/// # Errors
/// An address cannot be listened on, or a component cannot be started.
pub fn run(config: Config) -> Result<(), Error> {
    let _logs = logs::start()?;
    let runtime = Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|cause| Error::Start {
            step: "runtime",
            cause: cause.to_string(),
        })?;
    let ended = runtime.block_on(serve(config));
    runtime.shutdown_background();
    ended
}

async fn serve(config: Config) -> Result<(), Error> {
    let sockets = bind_sockets(&config).await?;
    let (inbox, inputs) = Inbox::new();
    stop::listen(inbox.clone()).map_err(|cause| Error::Start {
        step: "signals",
        cause: cause.to_string(),
    })?;
    let components = Components {
        inbox,
        directory: Arc::new(Directory::new(&config)),
        metrics: Arc::new(Metrics::new()?),
        recent: Arc::new(RecentDecisions::new()),
        client: platform::client(&config),
        stop: Stop::new(),
    };
    let clock = Clock::new();
    let node = Node::new(node_settings(&config), clock.now(), rand::random());
    let peers = peers::Shared {
        directory: Arc::clone(&components.directory),
        inbox: components.inbox.clone(),
        metrics: Arc::clone(&components.metrics),
        proof: config.secret.proof(peers::PROOF_PURPOSE),
    };
    let outputs = outputs(&components, peers.clone());
    tokio::spawn(clock::log_suspensions());
    tokio::spawn(Driver::new(clock, node, outputs).run(inputs));
    tokio::spawn(peers::serve(sockets.peer, peers));
    tokio::spawn(platform::poll_list(
        components.client.clone(),
        config.name.clone(),
        Arc::clone(&components.directory),
        components.inbox.clone(),
    ));
    tokio::spawn(platform::sweep_periodically(
        components.client.clone(),
        components.inbox.clone(),
        config.timing.window,
    ));
    log::info!(step = "start"; "{} serves callers at {}", config.name, config.listen.caller);
    serve_http(&config, &components, sockets.caller, sockets.admin).await?;
    sleep(FLUSH_TIME).await;
    log::info!(step = "stop"; "planned stop ended");
    Ok(())
}

async fn bind_sockets(config: &Config) -> Result<Sockets, Error> {
    Ok(Sockets {
        caller: bind("caller", config.listen.caller).await?,
        peer: bind("peer", config.listen.peer).await?,
        admin: bind("admin", config.listen.admin).await?,
    })
}

fn outputs(components: &Components, peers: peers::Shared) -> Outputs {
    Outputs {
        backends: Backends::new(
            Arc::clone(&components.directory),
            components.inbox.clone(),
            Arc::clone(&components.metrics),
        ),
        peers: Peers::new(peers),
        platform: Platform::new(components.client.clone(), components.inbox.clone()),
        recent: Arc::clone(&components.recent),
        directory: Arc::clone(&components.directory),
        metrics: Arc::clone(&components.metrics),
        stop: components.stop.clone(),
    }
}

/// Serves callers and operators until the planned stop has ended.
async fn serve_http(
    config: &Config,
    components: &Components,
    caller: TcpListener,
    operator: TcpListener,
) -> Result<(), Error> {
    let admin = admin::Shared {
        inbox: components.inbox.clone(),
        recent: Arc::clone(&components.recent),
        metrics: Arc::clone(&components.metrics),
        client: components.client.clone(),
        operators: config.operators.clone(),
        stop: components.stop.clone(),
    };
    let callers = callers::Shared {
        inbox: components.inbox.clone(),
        directory: Arc::clone(&components.directory),
        budget: Budget::new(BODY_MEMORY_BYTES.max(config.limits.body_bytes)),
        stop: components.stop.clone(),
        body_bytes: config.limits.body_bytes,
        address_ttl: config.timing.address_ttl,
        data_centre: config.data_centre.clone(),
    };
    tokio::spawn(admin::serve(Listener::from(operator), admin));
    callers::serve(Listener::from(caller), callers).await
}

fn node_settings(config: &Config) -> Settings {
    Settings {
        instance: Instance::new(&config.name),
        name: config.name.clone(),
        zone: Zone::new(&config.data_centre),
        incarnation: Incarnation(rand::random()),
        started_ms: clock::unix_time().as_millis() as u64,
        seeds: config
            .seeds
            .iter()
            .map(|seed| Instance::new(&seed.name))
            .collect(),
        secret: config.secret.expose().as_bytes().to_vec(),
        lease: config.timing.lease,
        window: config.timing.window,
        address_ttl: config.timing.address_ttl,
        orphan_grace: config.timing.orphan_grace,
        inspect_every: config.timing.inspect_every,
        poll_every: config.timing.poll_every,
        max_open: config.limits.open,
        max_keys: config.limits.keys,
    }
}
