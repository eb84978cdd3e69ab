//! Contents and timing of claim updates.

mod common;

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claim_publisher::ClaimPublisher;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::runs::Size;
use relay::server::Key;

const START: Time = Time::from_millis(100_000);
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 400,
    max_tokens: 1_000,
    generated: 0,
};
/// Number of replicas, each with a run at the start.
const REPLICAS: usize = 70;

struct Daemon {
    pool: Pool,
    keys: Vec<Key>,
    runs: Runs,
    publisher: ClaimPublisher,
}

impl Daemon {
    fn new() -> Self {
        let pool = common::pool(START, common::engines(REPLICAS, Stage::Decode, 32));
        let mut keys = Vec::new();
        while let Some(key) = choose(&pool, &keys) {
            keys.push(key);
        }
        Self {
            pool,
            keys,
            runs: Runs::new(),
            publisher: ClaimPublisher::new(),
        }
    }

    fn begin(&mut self, replica: usize) -> RunId {
        self.runs.begin("llm", self.keys[replica], SIZE)
    }

    fn due(&mut self, ms: u64) -> Option<ClaimUpdate> {
        let now = START + Duration::from_millis(ms);
        self.publisher.due(now, &self.runs, &self.pool)
    }

    fn hash(&self, replica: usize) -> u64 {
        self.pool.get(self.keys[replica]).unwrap().hash
    }
}

fn choose(pool: &Pool, tried: &[Key]) -> Option<Key> {
    let criteria = common::criteria("llm", Some(Stage::Decode), tried, None);
    pool.choose(START, &criteria, || 0.0)
}

fn changed(update: Option<ClaimUpdate>) -> usize {
    let update = update.unwrap();
    assert!(!update.all);
    update.claims.len()
}

/// Guards against sending all claims for each change: in a burst, a daemon with runs at 70 replicas
/// starts or ends one every 20 ms.
#[test]
fn a_new_run_costs_one_claim_regardless_of_other_runs() {
    let mut daemon = Daemon::new();
    for replica in 0..REPLICAS {
        daemon.begin(replica);
    }
    let update = daemon.due(0).unwrap();
    assert_eq!((update.all, update.claims.len()), (true, REPLICAS));
    daemon.begin(3);
    assert_eq!(changed(daemon.due(20)), 1);
    daemon.begin(4);
    daemon.begin(5);
    assert_eq!(changed(daemon.due(40)), 2);
}

#[test]
fn all_claims_are_sent_periodically() {
    let mut daemon = Daemon::new();
    daemon.begin(0);
    assert!(daemon.due(0).is_some());
    assert!(daemon.due(390).is_none());
    assert!(daemon.due(400).unwrap().all);
}

#[test]
fn changes_in_quick_succession_are_sent_together() {
    let mut daemon = Daemon::new();
    daemon.begin(0);
    assert!(daemon.due(0).is_some());
    daemon.begin(1);
    assert!(daemon.due(2).is_none());
    daemon.begin(2);
    assert_eq!(changed(daemon.due(6)), 2);
}

#[test]
fn nothing_is_sent_without_runs() {
    let mut daemon = Daemon::new();
    assert!(daemon.due(0).is_none());
    let run = daemon.begin(0);
    assert!(daemon.due(500).is_some());
    daemon.runs.end(START, run, true);
    assert_eq!(changed(daemon.due(510)), 1);
    assert!(daemon.due(910).is_none());
}

#[test]
fn partial_updates_lead_to_the_current_claims() {
    let mut daemon = Daemon::new();
    let mut claims = Claims::new();
    let first = daemon.begin(0);
    daemon.begin(1);
    for (ms, ends) in [(0, false), (20, true)] {
        if ends {
            daemon.runs.end(START, first, true);
            daemon.begin(2);
        }
        let update = daemon.due(ms).unwrap();
        claims.apply(START, Instance(1), update);
    }
    let runs = |replica| claims.peer_usage(START, daemon.hash(replica)).runs;
    assert_eq!([runs(0), runs(1), runs(2)], [0, 1, 1]);
}
