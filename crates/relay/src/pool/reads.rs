//! Prompts that replicas read: how many wait, how long a read takes, and which replicas read them.

use std::time::Duration;

use ident::Time;

use crate::claims::Claims;
use crate::claims::PrefillBacklog;
use crate::pool::Pool;
use crate::replica::Stage;
use crate::server::Key;
use crate::server::Server;

/// Part of the objective up to which reads may last without any being left to decode replicas. An
/// unloaded replica takes a quarter of it.
const SLOW_FROM: f64 = 0.7;
/// Part of the objective from which on as few as possible are sent.
const SLOW_TO: f64 = 1.0;
/// Weight of the newest read in the mean pace of a service's replicas.
const READ_PACE_STEP: f64 = 0.05;
/// Most that is left to decode replicas; the rest tells when it is better again.
const MAX_OWN_READS: f64 = 0.85;

impl Pool {
    /// Tokens that `key` is to read, as far as is known.
    pub fn queued_tokens(&self, key: Key) -> u64 {
        self.servers.get(key).map_or(0, Server::queued)
    }

    /// Notes that `key` took `took` to read `tokens`, those that waited before them included.
    pub fn record_prefill(&mut self, now: Time, key: Key, took: Duration, tokens: u64) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let seconds = took.as_secs_f64() / tokens.max(1) as f64;
        server.note_read(now, seconds);
        let mean = self.read_paces.entry(server.replica.service.clone());
        let mean = mean.or_insert(seconds);
        *mean += READ_PACE_STEP * (seconds - *mean);
    }

    /// Time that `key` will take to read a prompt of `tokens`, by what it is to read before; `None` if
    /// no prompt was read yet.
    pub fn estimate_prefill_time(&self, now: Time, key: Key, tokens: u64) -> Option<Duration> {
        let server = self.servers.get(key)?;
        let usual = self.read_paces.get(&server.replica.service).copied();
        let pace = server.read_pace(now).or(usual)?;
        Some(Duration::from_secs_f64(
            pace * (server.queued() + tokens) as f64,
        ))
    }

    /// Takes what other daemons have sent to be read.
    pub fn update_pending_prefills(&mut self, now: Time, claims: &Claims) {
        let unread = claims.pending_prefills(now);
        let told = |hash| {
            unread
                .as_ref()
                .map(|all| all.get(&hash).copied().unwrap_or(0))
        };
        for server in self.servers.values_mut() {
            if server.replica.stage == Some(Stage::Prefill) {
                server.unread = told(server.hash);
            }
        }
    }

    /// What this daemon has sent to be read, by replica.
    pub fn prefill_backlogs(&self) -> impl Iterator<Item = PrefillBacklog> + '_ {
        let servers = self.servers.values();
        let reading = servers
            .filter(|server| server.replica.stage == Some(Stage::Prefill) && server.tokens > 0);
        reading.map(|server| PrefillBacklog {
            replica: server.hash,
            tokens: server.tokens.min(u64::from(u32::MAX)) as u32,
        })
    }

    /// Whether `decode` may read a prompt itself. A decode replica makes next to no tokens while it reads,
    /// so each read is a pause in all of its streams; two in a row are a long one.
    pub fn may_prefill(&self, decode: Key) -> bool {
        let server = self.servers.get(decode);
        server.is_none_or(|server| server.reads == 0 || server.known_runs <= 1)
    }

    /// Part of the prompts of `tokens` that a decode replica is to read itself, since the prefill replica
    /// `key` takes long against `objective`.
    pub fn decode_prefill_share(
        &self,
        now: Time,
        key: Key,
        tokens: u64,
        objective: Duration,
    ) -> f64 {
        let Some(server) = self.servers.get(key) else {
            return 0.0;
        };
        let read = self
            .estimate_prefill_time(now, key, tokens)
            .unwrap_or_default();
        let part = read.as_secs_f64() / objective.as_secs_f64().max(f64::EPSILON);
        let slow = (part - SLOW_FROM) / (SLOW_TO - SLOW_FROM);
        slow.max(server.failure_share(now))
            .clamp(0.0, MAX_OWN_READS)
    }
}
