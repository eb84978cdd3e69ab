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
const FULL_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two messages at least, where something changed: in a burst, daemons that do not know
/// of each other's newest runs place them on top of each other.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Runs at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RunCount {
    key: Key,
    runs: u16,
    /// Those of them whose prompts the replica reads itself.
    prefills: u16,
    /// Those that make tokens: the newest of them is the one that leaves when the memory ends.
    generating: u16,
}

/// What was told, and when.
#[derive(Debug, Default)]
pub struct ClaimPublisher {
    last: Time,
    last_full: Time,
    /// By the hash of the replica.
    sent_counts: BTreeMap<u64, RunCount>,
    /// Tokens that are being read, by the hash of the replica.
    sent_prefills: BTreeMap<u64, u32>,
    /// Replicas that do not answer, by their hashes.
    sent_silent: Vec<u64>,
}

impl ClaimPublisher {
    /// Nothing told yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is to be told at `now`, if anything.
    pub fn due(&mut self, now: Time, runs: &Runs, pool: &Pool) -> Option<ClaimUpdate> {
        let all = now.since(self.last_full) >= FULL_INTERVAL;
        if !all && now.since(self.last) < MIN_INTERVAL {
            return None;
        }
        let counts = count(runs, pool);
        let prefills: BTreeMap<u64, u32> = pool
            .prefill_backlogs()
            .map(|r| (r.replica, r.tokens))
            .collect();
        let claim = |(replica, count): (&u64, &RunCount)| runs.claim(now, count.key, *replica);
        let backlog = |(replica, tokens): (&u64, &u32)| PrefillBacklog {
            replica: *replica,
            tokens: *tokens,
        };
        let silent = pool.silent_replicas(now);
        let newly_silent = silent.iter().any(|hash| !self.sent_silent.contains(hash));
        let is_empty = counts.is_empty() && prefills.is_empty() && silent.is_empty();
        let is_unchanged =
            counts == self.sent_counts && prefills == self.sent_prefills && !newly_silent;
        let update = match all {
            true if is_empty && is_unchanged => return None,
            false if is_unchanged => return None,
            true => {
                let claims = counts.iter().filter_map(claim).collect();
                ClaimUpdate::all(claims).with_readings(prefills.iter().map(backlog).collect())
            }
            false => {
                let changed = counts
                    .iter()
                    .filter(|(replica, count)| self.sent_counts.get(replica) != Some(count));
                let ended = self
                    .sent_counts
                    .keys()
                    .filter(|hash| !counts.contains_key(hash));
                let ended = ended.map(|hash| Claim::none(*hash));
                let changed_prefills = prefills
                    .iter()
                    .filter(|(replica, tokens)| self.sent_prefills.get(replica) != Some(tokens));
                let finished = self
                    .sent_prefills
                    .keys()
                    .filter(|hash| !prefills.contains_key(hash));
                let finished = finished.map(|hash| backlog((hash, &0)));
                ClaimUpdate::changed(changed.filter_map(claim).chain(ended).collect())
                    .with_readings(changed_prefills.map(backlog).chain(finished).collect())
            }
        };
        let update = update.with_silent(silent.clone());
        self.sent_silent = silent;
        self.last = now;
        if all {
            self.last_full = now;
        }
        self.sent_counts = counts;
        self.sent_prefills = prefills;
        Some(update)
    }
}

fn count(runs: &Runs, pool: &Pool) -> BTreeMap<u64, RunCount> {
    let mut counts = BTreeMap::new();
    for (_, run) in runs.iter() {
        let key = run.server;
        let Some(server) = pool.get(key) else {
            continue;
        };
        let count = counts.entry(server.hash).or_insert(RunCount {
            key,
            runs: 0,
            prefills: 0,
            generating: 0,
        });
        count.runs += 1;
        count.prefills += u16::from(run.is_prefilling());
        count.generating += u16::from(run.started().is_some());
    }
    counts
}
