//! State of one daemon: replicas, its own runs, and the claims of its peers.

use std::net::SocketAddr;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use ident::Zone;
use relay::admission::MemoryDemand;
use relay::claim_publisher::ClaimPublisher;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::migration;
use relay::migration::Move;
use relay::pool::Pool;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::revision::Revision;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::runs::Size;
use relay::score::Criteria;
use relay::score::Version;
use relay::server::Key;

/// Name of the only service.
const SERVICE: &str = "llm";

/// A daemon that places runs on shared replicas.
#[derive(Debug)]
pub struct Daemon {
    /// Replicas as this daemon sees them.
    pub pool: Pool,
    /// Runs of this daemon.
    pub runs: Runs,
    claims: Claims,
    publisher: ClaimPublisher,
}

impl Daemon {
    /// A daemon that knows `count` replicas of `memory` tokens.
    pub fn new(count: usize, memory: u64) -> Self {
        let mut pool = Pool::new();
        pool.set_memory(SERVICE, memory);
        let replicas = (0..count).map(replica).collect();
        let list = Snapshot {
            version: Revision::new(0, 1),
            replicas,
            lapsing: Vec::new(),
            grace: Duration::ZERO,
        };
        pool.apply(Time::ZERO, &list);
        Self {
            pool,
            runs: Runs::new(),
            claims: Claims::new(),
            publisher: ClaimPublisher::new(),
        }
    }

    /// Index of the replica `key`.
    pub fn replica(&self, key: Key) -> usize {
        replica_index(&self.pool, key)
    }

    /// Chooses a replica for a run of `size`. With `spreads`, its forecast peak has to fit with that many
    /// standard deviations.
    pub fn choose(
        &self,
        now: Time,
        size: Size,
        tried: &[Key],
        spreads: Option<f64>,
        draw: impl Fn() -> f64,
    ) -> Option<Key> {
        let demand = spreads.map(|spreads| MemoryDemand {
            curve: self.runs.forecast(SERVICE, size),
            spreads,
            spare: 0.0,
        });
        self.pool.choose(now, &criteria(tried, demand), draw)
    }

    /// Records the start of a run at `key`.
    pub fn begin(&mut self, now: Time, key: Key, size: Size) -> RunId {
        let id = self.runs.begin(SERVICE, key, size);
        self.pool.start_request(key, size.prompt + size.estimate);
        self.pool
            .update_forecast(now, key, &self.runs, &self.claims);
        id
    }

    /// Records the end of a run.
    pub fn end(&mut self, now: Time, id: RunId, size: Size, complete: bool) {
        let Some(key) = self.runs.get(id).map(|entry| entry.server) else {
            return;
        };
        self.runs.end(now, id, complete);
        self.pool.end_request(key, size.prompt + size.estimate);
        self.pool
            .update_forecast(now, key, &self.runs, &self.claims);
    }

    /// Updates the memory forecasts of all replicas; returns the migrations that are due.
    pub fn due_moves(&mut self, now: Time, moves: bool) -> Vec<Move> {
        self.claims.remove_expired(now);
        self.pool
            .update_all_forecasts(now, &self.runs, &self.claims);
        if !moves {
            return Vec::new();
        }
        let pool = &self.pool;
        migration::due_moves(now, pool, &self.runs, &self.claims, |_, from, demand| {
            pool.choose(now, &criteria(&[from], Some(demand)), || 0.0)
        })
    }

    /// The claims to send to the peers, if they are due.
    pub fn due_claims(&mut self, now: Time) -> Option<ClaimUpdate> {
        self.publisher.due(now, &self.runs, &self.pool)
    }

    /// Applies claims of the daemon `peer`.
    pub fn receive_claims(&mut self, now: Time, peer: usize, update: ClaimUpdate) {
        self.claims.apply(now, Instance(peer as u64), update);
    }
}

fn criteria(tried: &[Key], demand: Option<MemoryDemand>) -> Criteria<'_> {
    Criteria {
        service: SERVICE,
        stage: Some(Stage::Decode),
        tried,
        homes: None,
        software: Version::Any,
        reserved: &[],
        data_centre: Zone::new("here"),
        demand,
        answer: None,
        prompt_tokens: 0,
    }
}

/// The id of a replica is its index.
fn replica_index(pool: &Pool, key: Key) -> usize {
    let server = pool.get(key);
    server.map_or(0, |server| server.replica.id.parse().unwrap_or_default())
}

fn replica(index: usize) -> Replica {
    Replica {
        id: index.to_string(),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Zone::new("here"),
        stage: Some(Stage::Decode),
        slots: 64,
        draining: false,
        cold: false,
        writes: 1,
        birth: None,
        software: Some("v1".to_owned()),
    }
}
