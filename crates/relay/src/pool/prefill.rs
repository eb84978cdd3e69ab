//! Prefill queues: pending prompts, expected durations, and which prompts decode replicas prefill
//! themselves.

use std::time::Duration;

use ident::Time;

use crate::claims::Claims;
use crate::claims::PrefillBacklog;
use crate::pool::Pool;
use crate::replica::Stage;
use crate::server::Key;
use crate::server::Server;

/// Fraction of the objective up to which a prefill may last without prompts being left to decode
/// replicas. An idle replica takes a quarter of the objective.
const SLOW_FROM: f64 = 0.7;
/// Fraction of the objective from which as few prompts as possible go to the prefill replica.
const SLOW_TO: f64 = 1.0;
/// Weight of the newest prefill in the mean of a service's replicas.
const PACE_WEIGHT: f64 = 0.05;
/// Maximum share of prompts left to decode replicas; the rest shows when the prefill replica is
/// faster again.
const MAX_DECODE_PREFILL_SHARE: f64 = 0.85;
/// Factor by which a prefill at a decode replica slows the streams there.
const PREFILL_SLOWDOWN: f64 = 5.0;

impl Pool {
    /// Tokens that `key` has yet to prefill, as far as known.
    pub fn queued_tokens(&self, key: Key) -> u64 {
        self.servers.get(key).map_or(0, Server::queued_tokens)
    }

    /// Records that `key` took `took` to prefill `tokens`, including the prompts queued before.
    pub fn record_prefill(&mut self, now: Time, key: Key, took: Duration, tokens: u64) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let seconds = took.as_secs_f64() / tokens.max(1) as f64;
        server.record_prefill(now, seconds);
        let mean = self.prefill_paces.entry(server.replica.service.clone());
        let mean = mean.or_insert(seconds);
        *mean += PACE_WEIGHT * (seconds - *mean);
    }

    /// Expected time for `key` to prefill a prompt of `tokens` after its queue, by its own pace if
    /// that is known, else by the mean of all; `None` before the first measurement.
    pub fn estimate_prefill_time(&self, now: Time, key: Key, tokens: u64) -> Option<Duration> {
        let server = self.servers.get(key)?;
        let service_pace = self.prefill_paces.get(&server.replica.service).copied();
        let pace = server.token_pace(now);
        let pace = pace.or_else(|| server.prefill_pace(now)).or(service_pace)?;
        Some(Duration::from_secs_f64(
            pace * (server.queued_tokens() + tokens) as f64,
        ))
    }

    /// Updates the pending prefills of other daemons.
    pub fn update_pending_prefills(&mut self, now: Time, claims: &Claims) {
        let pending = claims.pending_prefills(now);
        let is_changed = self.peers_report != pending.is_some();
        self.peers_report = pending.is_some();
        let none = self.no_peer_prefills();
        let outdated = std::mem::take(&mut self.with_peer_prefills);
        let outdated = if is_changed {
            self.servers.keys().collect()
        } else {
            outdated
        };
        self.note_examined(outdated.len());
        for key in outdated {
            if let Some(server) = self.servers.get_mut(key) {
                server.peer_prefill_tokens = none;
            }
        }
        for (hash, tokens) in pending.unwrap_or_default() {
            let Some(key) = self.index.by_hash(hash) else {
                continue;
            };
            if let Some(server) = self.servers.get_mut(key) {
                server.peer_prefill_tokens = Some(tokens);
                self.with_peer_prefills.push(key);
            }
        }
    }

    /// Pending prefills of other daemons at a replica of which none reports any.
    pub(super) fn no_peer_prefills(&self) -> Option<u64> {
        self.peers_report.then_some(0)
    }

    /// Pending prefills of this daemon, by replica.
    pub fn prefill_backlogs(&self) -> impl Iterator<Item = PrefillBacklog> + '_ {
        let servers = self.with_requests.iter();
        let servers = servers.filter_map(|key| self.servers.get(*key));
        let busy = servers
            .filter(|server| server.replica.stage == Some(Stage::Prefill) && server.tokens > 0);
        busy.map(|server| PrefillBacklog {
            replica: server.hash,
            tokens: server.tokens.min(u64::from(u32::MAX)) as u32,
        })
    }

    /// Whether `decode` may prefill a prompt itself. A decode replica generates almost no tokens
    /// during a prefill, so each one pauses all of its streams; two in a row are a long pause. At a
    /// slow replica, a single one makes pauses longer than `longest` between two events of
    /// `event_tokens` each; `None` if pauses are not limited.
    pub fn may_prefill(
        &self,
        now: Time,
        decode: Key,
        event_tokens: u64,
        longest: Option<Duration>,
    ) -> bool {
        let Some(server) = self.servers.get(decode) else {
            return true;
        };
        let pauses = || {
            let pause = event_tokens as f64 * server.token_pace(now)? * PREFILL_SLOWDOWN;
            Some(pause > longest?.as_secs_f64())
        };
        server.known_runs <= 1 || (server.prefills == 0 && !pauses().unwrap_or(false))
    }

    /// Share of the prompts of `tokens` that a decode replica should prefill itself, because the
    /// prefill replica `key` takes long compared with `objective`.
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
        let prefill = self
            .estimate_prefill_time(now, key, tokens)
            .unwrap_or_default();
        let fraction = prefill.as_secs_f64() / objective.as_secs_f64().max(f64::EPSILON);
        let share = (fraction - SLOW_FROM) / (SLOW_TO - SLOW_FROM);
        share
            .max(server.failure_share(now))
            .clamp(0.0, MAX_DECODE_PREFILL_SHARE)
    }
}
