//! Tracks the runs of this daemon at decode replicas, reports them to other daemons, and orders
//! migrations.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout_at;
use ident::Time;
use rand::seq::IndexedRandom;
use relay::admission::MemoryDemand;
use relay::answer::Answer;
use relay::claim_publisher::ClaimPublisher;
use relay::migration;
use relay::migration::Move;
use relay::migration::slow;
use relay::plan::Plan;
use relay::runs::RunId;
use relay::runs::Size;
use relay::score::Version;
use relay::server::Key;
use tokio::sync::watch;

use crate::gossip;
use crate::job::Job;
use crate::move_order::MoveOrder;
use crate::move_order::Reason;
use crate::move_order::Target;
use crate::shared::Shared;
use crate::shared::choice::Destination;

/// Retries that are left to failures: a run is moved for its slowness only if the budget holds more.
const MIN_RETRIES_LEFT: f64 = 3.0;
/// Pause between two moves of this daemon from one replica for its slowness: each copies a KV cache
/// over the replica's link, which other transfers wait for.
const SLOW_MOVE_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a run that was ordered to move for its slowness is not ordered so again: a run for
/// which this does not help would use up the retries and the links of the replicas.
const SLOW_MOVE_REST: Duration = Duration::from_secs(5);
/// Interval of the memory checks; a migration has to start some hundred milliseconds before the
/// memory of a replica is full.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Daemons with runs that claims are sent to at most, besides the random ones.
const MAX_ACTIVE_PEERS: usize = 16;
/// Random daemons that claims are sent to in each round, so that daemons with runs find each other.
const RANDOM_PEERS: usize = 2;

/// A tracked run; it ends when this is dropped.
#[derive(Debug)]
pub struct TrackedRun {
    shared: Rc<Shared>,
    id: RunId,
    /// Tokens per event.
    event_tokens: u64,
    orders: watch::Receiver<Option<Target>>,
    complete: bool,
}

impl TrackedRun {
    /// Records that a run of `job` with `size` starts at `server`.
    pub fn new(shared: &Rc<Shared>, job: &Job, server: Key, size: Size, event_tokens: u64) -> Self {
        let id = shared.runs.borrow_mut().begin(&job.service, server, size);
        let limits = job.limits(shared.clock.now(), event_tokens);
        shared.runs.borrow_mut().set_limits(id, limits);
        shared.note_token_pace(id, server);
        let (target, orders) = watch::channel(None);
        let order = MoveOrder {
            target,
            homes: job.homes.clone(),
        };
        shared.move_targets.borrow_mut().insert(id, order);
        shared.update_forecast(server);
        shared.runs_changed.notify_one();
        Self {
            shared: Rc::clone(shared),
            id,
            event_tokens,
            orders,
            complete: false,
        }
    }

    /// Id of the run.
    pub const fn id(&self) -> RunId {
        self.id
    }

    /// Tokens per event.
    pub const fn event_tokens(&self) -> u64 {
        self.event_tokens
    }

    /// Records that the replica prefills the prompt itself.
    pub fn note_local_prefill(&self, server: Key) {
        self.shared.runs.borrow_mut().mark_prefilling(self.id);
        self.shared.update_forecast(server);
        self.shared.runs_changed.notify_one();
    }

    /// Records that `events` events arrived.
    pub fn record_events(&self, events: u64) {
        let now = self.shared.clock.now();
        let tokens = events * self.event_tokens;
        self.shared
            .runs
            .borrow_mut()
            .record_tokens(now, self.id, tokens);
    }

    /// Has the run's recent pace measured anew, since events wait for a slow caller.
    pub fn reset_recent_pace(&self) {
        self.shared.runs.borrow_mut().reset_recent_pace(self.id);
    }

    /// Records that the run continues at `server`.
    pub fn record_move(&mut self, server: Key) {
        self.shared.runs.borrow_mut().record_move(self.id, server);
        self.shared.note_token_pace(self.id, server);
        self.orders.mark_unchanged();
        self.shared.update_forecast(server);
        self.shared.runs_changed.notify_one();
    }

    /// Excludes the run from migrations for `pause`.
    pub fn block_moves(&self, pause: Duration) {
        let until = self.shared.clock.now() + pause;
        self.shared.runs.borrow_mut().block_moves(self.id, until);
    }

    /// Records that the replica did not migrate the run, and excludes its other runs from
    /// migrations for `pause`.
    pub fn block_moves_from_replica(&self, pause: Duration) {
        let until = self.shared.clock.now() + pause;
        self.shared
            .runs
            .borrow_mut()
            .block_moves_from_replica(self.id, until);
    }

    /// Records that the run sent its last event.
    pub const fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// Waits until the run has to continue at another replica, and returns where.
    pub async fn next_order(&mut self) -> Target {
        loop {
            if self.orders.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            let target = *self.orders.borrow_and_update();
            if let Some(target) = target {
                return target;
            }
        }
    }
}

impl Drop for TrackedRun {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let server = self.shared.runs.borrow().get(self.id).map(|run| run.server);
        self.shared.move_targets.borrow_mut().remove(&self.id);
        let mut runs = self.shared.runs.borrow_mut();
        runs.end(now, self.id, self.complete);
        drop(runs);
        if let Some(server) = server {
            self.shared.update_forecast(server);
            // Generations waiting here go first, and other daemons learn of the free room later:
            // otherwise several generations would take the room of one run.
            self.shared.capacity_changed.notify_waiters();
        }
    }
}

impl Shared {
    /// Updates the memory forecasts before they are needed, if they were not updated lately. A
    /// daemon without runs does not update them otherwise.
    pub fn refresh_forecasts(&self) {
        let now = self.clock.now();
        if now.since(self.forecasts_updated_at.get()) >= CHECK_INTERVAL {
            self.update_all_forecasts(now);
        }
    }

    fn update_all_forecasts(&self, now: Time) {
        self.forecasts_updated_at.set(now);
        self.claims.borrow_mut().remove_expired(now);
        let (runs, claims) = (self.runs.borrow(), self.claims.borrow());
        let mut pool = self.pool.borrow_mut();
        pool.update_all_forecasts(now, &runs, &claims);
    }

    /// Records how fast `server`, the replica of `run`, is by what is known of it.
    fn note_token_pace(&self, run: RunId, server: Key) {
        let pace = self.pool.borrow().token_pace(self.clock.now(), server);
        self.runs.borrow_mut().set_token_pace(run, pace);
    }

    /// Updates the memory forecast of `server`.
    pub fn update_forecast(&self, server: Key) {
        let now = self.clock.now();
        let (runs, claims) = (self.runs.borrow(), self.claims.borrow());
        self.pool
            .borrow_mut()
            .update_forecast(now, server, &runs, &claims);
    }
}

/// Checks and publishes the runs forever.
pub async fn run(shared: Rc<Shared>) {
    let mut publisher = ClaimPublisher::new();
    let mut next_check = Instant::now();
    loop {
        let changed = shared.runs_changed.notified();
        if publisher.is_idle() && is_idle(&shared) {
            changed.await;
        } else {
            // Changes are published at once, everything else at the next check.
            let _ = timeout_at(next_check, changed).await;
        }
        if Instant::now() >= next_check {
            next_check = Instant::now() + CHECK_INTERVAL;
            check_runs(&shared);
        }
        publish_claims(&shared, &mut publisher).await;
    }
}

/// Whether this daemon has nothing to check or to report again.
fn is_idle(shared: &Shared) -> bool {
    let now = shared.clock.now();
    let silent = shared.pool.borrow().silent_replicas(now);
    shared.runs.borrow().is_empty() && silent.is_empty()
}

/// Orders the runs that have to leave their replica to move.
fn check_runs(shared: &Shared) {
    let now = shared.clock.now();
    shared.update_all_forecasts(now);
    let stood_still = shared.stood_still(now);
    if stood_still {
        shared.runs.borrow_mut().reset_recent_paces();
    }
    let (runs, claims) = (shared.runs.borrow(), shared.claims.borrow());
    let plan = shared.plan().filter(|_| shared.settings().placing.moves);
    let Some(plan) = plan else { return };
    let pool = shared.pool.borrow();
    let choose = |run, from, demand, answer: Option<&Answer>| {
        choose_target(shared, &plan, run, from, demand, answer)
    };
    let by_memory = migration::due_moves(now, &pool, &runs, &claims, |run, from, demand| {
        choose(run, from, demand, runs.answer_of(now, run).as_ref())
    });
    let may_order = |service: &str, ordered: usize| {
        shared.retries_left(service) - ordered as f64 >= MIN_RETRIES_LEFT
    };
    let by_speed = if stood_still || pool.pace_count() == 0 {
        Vec::new()
    } else {
        let choose = |run, from, demand, answer: &Answer| choose(run, from, demand, Some(answer));
        slow::due_moves(now, &pool, &runs, may_order, choose)
    };
    let by_memory = by_memory.into_iter().map(|due| (due, Reason::Memory));
    let by_speed = by_speed.into_iter().map(|due| (due, Reason::Slow));
    let mut left: BTreeSet<Key> = BTreeSet::new();
    let mut slow = Vec::new();
    for (Move { run, to }, reason) in by_memory.chain(by_speed) {
        let from = runs.get(run).map(|entry| entry.server);
        if !from.is_some_and(|from| left.insert(from)) {
            continue;
        }
        if let Some(order) = shared.move_targets.borrow().get(&run) {
            order.target.send_replace(Some(Target { to, reason }));
        }
        slow.extend((reason == Reason::Slow).then_some(run));
    }
    drop(runs);
    for run in slow {
        let (others, same) = (now + SLOW_MOVE_PAUSE, now + SLOW_MOVE_REST);
        shared.runs.borrow_mut().block_slow_moves(run, others, same);
    }
}

/// The replica to which `run` may move from `from`; `None` if its service has no moves, or no
/// replica has room.
fn choose_target(
    shared: &Shared,
    plan: &Plan,
    run: RunId,
    from: Key,
    demand: MemoryDemand,
    answer: Option<&Answer>,
) -> Option<Key> {
    let (runs, orders, pool) = (
        shared.runs.borrow(),
        shared.move_targets.borrow(),
        shared.pool.borrow(),
    );
    let service = &runs.get(run)?.service;
    let engine = plan.services.get(service)?.engine?;
    let to = Destination {
        service,
        homes: orders.get(&run)?.homes.data_centres(),
        // The version that writes a KV cache is the only one that can read it.
        software: Version::Exactly(pool.get(from)?.replica.software.as_deref()?),
    };
    let to = engine
        .moves
        .then(|| shared.choose_decode(to, &[], &[from], demand, answer))??;
    // A migration cannot wait for a limited replica to admit the request.
    (!shared.is_limited(to)).then_some(to)
}

async fn publish_claims(shared: &Shared, publisher: &mut ClaimPublisher) {
    let now = shared.clock.now();
    let due = publisher.due(now, &shared.runs.borrow(), &shared.pool.borrow());
    let Some(update) = due else { return };
    for to in claim_recipients(shared) {
        gossip::send_claims(shared, to, update.clone()).await;
    }
}

/// The daemons to send claims to: those with runs, and some random ones.
fn claim_recipients(shared: &Shared) -> Vec<SocketAddr> {
    let members = shared.members.borrow();
    let peers = members.peer_addresses();
    if peers.len() <= MAX_ACTIVE_PEERS {
        return peers;
    }
    let claims = shared.claims.borrow();
    let active = claims
        .active_peers()
        .filter_map(|peer| members.peer_address(peer));
    let mut to: Vec<SocketAddr> = active.take(MAX_ACTIVE_PEERS).collect();
    for drawn in peers.sample(&mut rand::rng(), RANDOM_PEERS) {
        if !to.contains(drawn) {
            to.push(*drawn);
        }
    }
    to
}
