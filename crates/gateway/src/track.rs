//! The runs of this daemon: followed while they last, told to other daemons, moved when it is time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout_at;
use rand::seq::IndexedRandom;
use relay::claim_publisher::ClaimPublisher;
use relay::migration;
use relay::migration::Move;
use relay::runs::RunId;
use relay::runs::Size;
use relay::server::Key;
use tokio::sync::watch;

use crate::gossip;
use crate::shared::Shared;

/// Time between two looks at the memory of the replicas; a move has to be begun some hundred
/// milliseconds before the memory ends.
const LOOK: Duration = Duration::from_millis(50);
/// Daemons that are told at most, besides those drawn by chance: those that have runs.
const MAX_TOLD: usize = 16;
/// Daemons drawn by chance in each round, so that those with runs find each other.
const DRAWN: usize = 2;

/// A run that this daemon follows; over when this is dropped.
#[derive(Debug)]
pub struct Track {
    shared: Rc<Shared>,
    id: RunId,
    /// Tokens in one event.
    event_tokens: u64,
    orders: watch::Receiver<Option<Key>>,
    complete: bool,
}

impl Track {
    /// Notes that a run of `size` gets a place at `server`.
    pub fn new(
        shared: &Rc<Shared>,
        service: &str,
        server: Key,
        size: Size,
        event_tokens: u64,
    ) -> Self {
        let id = shared.runs.borrow_mut().begin(service, server, size);
        let (order, orders) = watch::channel(None);
        shared.move_targets.borrow_mut().insert(id, order);
        shared.foresee(server);
        shared.runs_changed.notify_one();
        Self {
            shared: Rc::clone(shared),
            id,
            event_tokens,
            orders,
            complete: false,
        }
    }

    /// Its id among the runs.
    pub const fn id(&self) -> RunId {
        self.id
    }

    /// Notes that the replica reads the prompt itself.
    pub fn reads(&self, server: Key) {
        self.shared.runs.borrow_mut().mark_prefilling(self.id);
        self.shared.foresee(server);
        self.shared.runs_changed.notify_one();
    }

    /// Notes that `events` events came.
    pub fn events(&self, events: u64) {
        let now = self.shared.clock.now();
        let tokens = events * self.event_tokens;
        self.shared
            .runs
            .borrow_mut()
            .record_tokens(now, self.id, tokens);
    }

    /// Notes that the run goes on at `server`.
    pub fn moved(&mut self, server: Key) {
        self.shared.runs.borrow_mut().record_move(self.id, server);
        self.orders.mark_unchanged();
        self.shared.foresee(server);
        self.shared.runs_changed.notify_one();
    }

    /// Leaves the run where it is for `pause`.
    pub fn settle(&self, pause: Duration) {
        let until = self.shared.clock.now() + pause;
        self.shared.runs.borrow_mut().block_moves(self.id, until);
    }

    /// Notes that the replica did not move the run: no other is moved from there for `pause`.
    pub fn keep(&self, pause: Duration) {
        let until = self.shared.clock.now() + pause;
        self.shared
            .runs
            .borrow_mut()
            .block_moves_from_replica(self.id, until);
    }

    /// Notes that the run ended with its last event.
    pub const fn complete(&mut self) {
        self.complete = true;
    }

    /// Waits until the run is to go on elsewhere.
    pub async fn ordered(&mut self) -> Key {
        loop {
            if self.orders.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            let to = *self.orders.borrow_and_update();
            if let Some(to) = to {
                return to;
            }
        }
    }
}

impl Drop for Track {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let server = self.shared.runs.borrow().get(self.id).map(|run| run.server);
        self.shared.move_targets.borrow_mut().remove(&self.id);
        let mut runs = self.shared.runs.borrow_mut();
        runs.end(now, self.id, self.complete);
        drop(runs);
        if let Some(server) = server {
            self.shared.foresee(server);
            // Generations that wait here go before those of other daemons, which are told later: the
            // room that one run leaves must not be taken by several.
            self.shared.capacity_changed.notify_waiters();
        }
    }
}

impl Shared {
    /// Brings what the runs at `server` will hold up to date.
    pub fn foresee(&self, server: Key) {
        let now = self.clock.now();
        let (runs, claims) = (self.runs.borrow(), self.claims.borrow());
        self.pool
            .borrow_mut()
            .update_forecast(now, server, &runs, &claims);
    }
}

/// Looks after the runs, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut teller = ClaimPublisher::new();
    let mut next_look = Instant::now();
    loop {
        let changed = shared.runs_changed.notified();
        // What changed is told at once; the rest has its time.
        let _ = timeout_at(next_look, changed).await;
        if Instant::now() >= next_look {
            next_look = Instant::now() + LOOK;
            look(&shared);
        }
        tell(&shared, &mut teller).await;
    }
}

fn look(shared: &Shared) {
    let now = shared.clock.now();
    shared.claims.borrow_mut().remove_expired(now);
    let (runs, claims) = (shared.runs.borrow(), shared.claims.borrow());
    shared
        .pool
        .borrow_mut()
        .update_all_forecasts(now, &runs, &claims);
    let plan = shared.plan().filter(|_| shared.settings().placing.moves);
    let Some(plan) = plan else { return };
    let moves = {
        let pool = shared.pool.borrow();
        migration::due_moves(now, &pool, &runs, &claims, |run, from, ask| {
            let service = &runs.get(run)?.service;
            let engine = plan.services.get(service)?.engine?;
            let to = engine
                .moves
                .then(|| shared.choose_decode(service, &[from], ask))??;
            // A move cannot wait for a limited replica to admit the request.
            (!shared.is_limited(to)).then_some(to)
        })
    };
    for Move { run, to } in moves {
        if let Some(order) = shared.move_targets.borrow().get(&run) {
            order.send_replace(Some(to));
        }
    }
}

async fn tell(shared: &Shared, teller: &mut ClaimPublisher) {
    let now = shared.clock.now();
    let due = teller.due(now, &shared.runs.borrow(), &shared.pool.borrow());
    let Some(told) = due else { return };
    for to in audience(shared) {
        gossip::send_claims(shared, to, told.clone()).await;
    }
}

/// The daemons that are told: those that have runs, and some others.
fn audience(shared: &Shared) -> Vec<SocketAddr> {
    let members = shared.members.borrow();
    let peers = members.peer_addresses();
    if peers.len() <= MAX_TOLD {
        return peers;
    }
    let claims = shared.claims.borrow();
    let active = claims
        .active_peers()
        .filter_map(|peer| members.peer_address(peer));
    let mut to: Vec<SocketAddr> = active.take(MAX_TOLD).collect();
    for drawn in peers.sample(&mut rand::rng(), DRAWN) {
        if !to.contains(drawn) {
            to.push(*drawn);
        }
    }
    to
}
