//! Decides when this daemon sends its claims to the others, and which.
//!
//! All claims are sent periodically, and those of changed replicas at once. In a burst, a daemon
//! with runs at 70 replicas starts or ends one every 20 ms; sending all 70 claims each time made up
//! most of the traffic between daemons.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Time;

use crate::claims::Claim;
use crate::claims::ClaimUpdate;
use crate::claims::PrefillBacklog;
use crate::pool::Pool;
use crate::runs::Runs;
use crate::server::Key;

/// Interval between messages with all claims. Claims are forecasts and stay valid meanwhile; a lost
/// message is made up for by the next one.
const FULL_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum interval between messages with changes. Kept short because in a burst, daemons that do
/// not know each other's newest runs place them on the same replicas.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Runs at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RunCount {
    key: Key,
    runs: u16,
    /// Runs whose prompts the replica prefills itself.
    prefills: u16,
    /// Generating runs; the newest of them is the one to move when the memory is full.
    generating: u16,
}

/// The claims that were sent last, and when.
#[derive(Debug, Default)]
pub struct ClaimPublisher {
    last: Time,
    last_full: Time,
    /// Runs by replica hash.
    sent_counts: BTreeMap<u64, RunCount>,
    /// Tokens of pending prefills by replica hash.
    sent_prefills: BTreeMap<u64, u32>,
    /// Hashes of replicas that do not answer.
    sent_silent: Vec<u64>,
}

impl ClaimPublisher {
    /// Creates a publisher that has sent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the other daemons know of no runs and prefills of this one.
    pub fn is_idle(&self) -> bool {
        self.sent_counts.is_empty() && self.sent_prefills.is_empty()
    }

    /// Returns the update to send at `now`, if any.
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
