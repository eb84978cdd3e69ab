//! What a daemon tells the others of its runs, and when.
//!
//! All claims are told from time to time, and what began or ended meanwhile at once. In a burst a run
//! begins or ends each 20 ms at a daemon that has runs at 70 replicas: telling all 70 claims each time
//! was most of what daemons sent each other.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Time;

use crate::claims::Claim;
use crate::claims::ClaimUpdate;
use crate::claims::PrefillBacklog;
use crate::pool::Pool;
use crate::runs::Runs;
use crate::server::Key;

/// Time between two messages with all claims: what was told is expected to go on, and a message that
/// was lost is made good by the next one.
const ALL_PERIOD: Duration = Duration::from_millis(400);
/// Time between two messages at least, where something changed: in a burst, daemons that do not know
/// of each other's newest runs place them on top of each other.
const PAUSE: Duration = Duration::from_millis(5);

/// Runs at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Count {
    key: Key,
    runs: u16,
    /// Those of them whose prompts the replica reads itself.
    reads: u16,
    /// Those that make tokens: the newest of them is the one that leaves when the memory ends.
    making: u16,
}

/// What was told, and when.
#[derive(Debug, Default)]
pub struct ClaimPublisher {
    last: Time,
    last_all: Time,
    /// By the hash of the replica.
    told: BTreeMap<u64, Count>,
    /// Tokens that are being read, by the hash of the replica.
    read: BTreeMap<u64, u32>,
    /// Replicas that do not answer, by their hashes.
    silent: Vec<u64>,
}

impl ClaimPublisher {
    /// Nothing told yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is to be told at `now`, if anything.
    pub fn due(&mut self, now: Time, runs: &Runs, pool: &Pool) -> Option<ClaimUpdate> {
        let all = now.since(self.last_all) >= ALL_PERIOD;
        if !all && now.since(self.last) < PAUSE {
            return None;
        }
        let counts = count(runs, pool);
        let read: BTreeMap<u64, u32> = pool
            .prefill_backlogs()
            .map(|r| (r.replica, r.tokens))
            .collect();
        let claim = |(replica, count): (&u64, &Count)| runs.claim(now, count.key, *replica);
        let reading = |(replica, tokens): (&u64, &u32)| PrefillBacklog {
            replica: *replica,
            tokens: *tokens,
        };
        let silent = pool.silent_replicas(now);
        let news = silent.iter().any(|hash| !self.silent.contains(hash));
        let nothing = counts.is_empty() && read.is_empty() && silent.is_empty();
        let same = counts == self.told && read == self.read && !news;
        let told = match all {
            true if nothing && same => return None,
            false if same => return None,
            true => {
                let claims = counts.iter().filter_map(claim).collect();
                ClaimUpdate::all(claims).with_readings(read.iter().map(reading).collect())
            }
            false => {
                let changed = counts
                    .iter()
                    .filter(|(replica, count)| self.told.get(replica) != Some(count));
                let ended = self.told.keys().filter(|hash| !counts.contains_key(hash));
                let ended = ended.map(|hash| Claim::none(*hash));
                let begun = read
                    .iter()
                    .filter(|(replica, tokens)| self.read.get(replica) != Some(tokens));
                let over = self.read.keys().filter(|hash| !read.contains_key(hash));
                let over = over.map(|hash| reading((hash, &0)));
                ClaimUpdate::changed(changed.filter_map(claim).chain(ended).collect())
                    .with_readings(begun.map(reading).chain(over).collect())
            }
        };
        let told = told.with_silent(silent.clone());
        self.silent = silent;
        self.last = now;
        if all {
            self.last_all = now;
        }
        self.told = counts;
        self.read = read;
        Some(told)
    }
}

fn count(runs: &Runs, pool: &Pool) -> BTreeMap<u64, Count> {
    let mut counts = BTreeMap::new();
    for (_, run) in runs.iter() {
        let key = run.server;
        let Some(server) = pool.get(key) else {
            continue;
        };
        let count = counts.entry(server.hash).or_insert(Count {
            key,
            runs: 0,
            reads: 0,
            making: 0,
        });
        count.runs += 1;
        count.reads += u16::from(run.is_prefilling());
        count.making += u16::from(run.started().is_some());
    }
    counts
}
