//! What one daemon knows: replicas, its own runs, and what the others told.

use std::net::SocketAddr;

use ident::Instance;
use ident::Time;
use ident::Zone;
use relay::admission::Ask;
use relay::claims::Claim;
use relay::claims::Claims;
use relay::pool::Pool;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::rescue;
use relay::rescue::Move;
use relay::runs::Id;
use relay::runs::Runs;
use relay::runs::Size;
use relay::score::Want;
use relay::server::Key;

/// Name of the only service.
const SERVICE: &str = "llm";

/// One daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The replicas.
    pub pool: Pool,
    /// Its own runs.
    pub runs: Runs,
    claims: Claims,
    keys: Vec<Key>,
    /// Runs by replica as they were told last.
    told: Vec<usize>,
}

impl Daemon {
    /// A daemon that knows `count` replicas of `memory` tokens.
    pub fn new(count: usize, memory: u64) -> Self {
        let mut pool = Pool::new();
        pool.set_memory(SERVICE, memory);
        let replicas = (0..count).map(replica).collect();
        let list = Snapshot {
            version: 1,
            replicas,
            lapsing: Vec::new(),
        };
        pool.apply(Time::ZERO, &list);
        let mut keys = Vec::new();
        while let Some(key) = pool.choose(Time::ZERO, &want(&keys, None), || 0.0) {
            keys.push(key);
        }
        keys.sort_by_key(|key| number(&pool, *key));
        Self {
            pool,
            runs: Runs::new(),
            claims: Claims::new(),
            keys,
            told: Vec::new(),
        }
    }

    /// The replica behind `key`.
    pub fn replica(&self, key: Key) -> usize {
        number(&self.pool, key)
    }

    /// The replica for a run of `size`; if `spreads` is given, one whose memory lasts so surely.
    pub fn choose(
        &self,
        now: Time,
        size: Size,
        tried: &[Key],
        spreads: Option<f64>,
        draw: impl Fn() -> f64,
    ) -> Option<Key> {
        let ask = spreads.map(|spreads| Ask {
            curve: self.runs.ask(SERVICE, size),
            spreads,
            spare: 0.0,
        });
        self.pool.choose(now, &want(tried, ask), draw)
    }

    /// Begins a run at `key`.
    pub fn begin(&mut self, now: Time, key: Key, size: Size) -> Id {
        let id = self.runs.begin(SERVICE, key, size);
        self.pool.begin(key, size.prompt + size.estimate);
        self.pool.foresee(now, key, &self.runs, &self.claims);
        id
    }

    /// Ends it.
    pub fn end(&mut self, now: Time, id: Id, size: Size, complete: bool) {
        let Some(key) = self.runs.get(id).map(|entry| entry.server) else {
            return;
        };
        self.runs.end(now, id, complete);
        self.pool.end(key, size.prompt + size.estimate);
        self.pool.foresee(now, key, &self.runs, &self.claims);
    }

    /// Looks at the memory of all replicas; gives the moves that are due.
    pub fn look(&mut self, now: Time, moves: bool) -> Vec<Move> {
        self.claims.sweep(now);
        self.pool.foresee_all(now, &self.runs, &self.claims);
        if !moves {
            return Vec::new();
        }
        let pool = &self.pool;
        rescue::due(now, pool, &self.runs, &self.claims, |_, from, ask| {
            pool.choose(now, &want(&[from], Some(ask)), || 0.0)
        })
    }

    /// What the others are told, if runs began or ended since, or `always`.
    pub fn tell(&mut self, now: Time, always: bool) -> Option<Vec<Claim>> {
        let counts = self.counts();
        if counts == self.told && !always {
            return None;
        }
        self.told = counts;
        let keys = self.keys.iter();
        Some(keys.filter_map(|key| self.claim(now, *key)).collect())
    }

    /// Runs by replica.
    fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.keys.len()];
        for (_, run) in self.runs.iter() {
            if let Some(index) = self.keys.iter().position(|key| *key == run.server) {
                counts[index] += 1;
            }
        }
        counts
    }

    fn claim(&self, now: Time, key: Key) -> Option<Claim> {
        let id = &self.pool.get(key)?.replica.id;
        self.runs.claim(now, key, id)
    }

    /// Takes what the daemon `peer` told.
    pub fn hear(&mut self, now: Time, peer: usize, claims: Vec<Claim>) {
        self.claims.take(now, Instance(peer as u64), claims);
    }
}

fn want(tried: &[Key], ask: Option<Ask>) -> Want<'_> {
    Want {
        service: SERVICE,
        stage: Some(Stage::Decode),
        tried,
        near: Zone::new("here"),
        ask,
    }
}

/// Ids of replicas are their numbers.
fn number(pool: &Pool, key: Key) -> usize {
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
    }
}
