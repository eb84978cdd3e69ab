//! The paces of replicas.

use std::collections::HashMap;
use std::time::Duration;

use ident::Time;

use crate::pace;
use crate::pace::MIN_PROMPT_TOKENS;
use crate::pace::Pace;
use crate::pace::report::Merge;
use crate::pace::report::PaceReport;
use crate::pool::Pool;
use crate::replica::Stage;
use crate::server::Key;
use crate::server::Server;

/// Factor between the slowest and the fastest replica up to which replicas are alike.
const MAX_ALIKE: f64 = 1.2;

impl Pool {
    /// Records that `key` takes `seconds` for a token at its stage. Ignored unless positive and
    /// finite.
    pub fn record_token_pace(&mut self, now: Time, key: Key, seconds: f64) {
        if seconds.is_finite() && seconds > 0.0 {
            self.set_token_pace(key, Pace::new(now, seconds));
        }
    }

    /// Records that `key` took `took` to prefill a prompt of `tokens` while no other was queued.
    /// Returns the new pace; `None` if the prompt is too short to tell.
    pub fn measure_prefill(
        &mut self,
        now: Time,
        key: Key,
        took: Duration,
        tokens: u64,
    ) -> Option<f64> {
        let is_long = tokens >= MIN_PROMPT_TOKENS && !took.is_zero();
        let server = self.servers.get(key)?;
        if !is_long || server.replica.stage != Some(Stage::Prefill) {
            return None;
        }
        let measured = took.as_secs_f64() / tokens as f64;
        let pace = pace::combine_prefill(self.token_pace(now, key), measured);
        self.record_token_pace(now, key, pace);
        Some(pace)
    }

    /// Records that one run at `key` took `took` to generate `tokens`. Returns the new pace; `None`
    /// if the replica is no decode replica.
    pub fn measure_decode(
        &mut self,
        now: Time,
        key: Key,
        took: Duration,
        tokens: u64,
    ) -> Option<f64> {
        let server = self.servers.get(key)?;
        if tokens == 0 || took.is_zero() || server.replica.stage != Some(Stage::Decode) {
            return None;
        }
        let measured = took.as_secs_f64() / tokens as f64;
        let pace = pace::combine_decode(self.token_pace(now, key), measured);
        self.record_token_pace(now, key, pace);
        Some(pace)
    }

    /// Applies a `report` of another daemon that arrives at `now`; the newest measurement of any
    /// daemon counts.
    pub fn merge_pace(&mut self, now: Time, report: &PaceReport) -> Merge {
        let Some(key) = self.index.by_hash(report.replica) else {
            return Merge::Unknown;
        };
        let server = &self.servers[key];
        match report.pace(now) {
            _ if report.us_per_token == 0 => Merge::Invalid,
            _ if server.replica.stage != Some(report.stage) => Merge::OtherStage,
            Some(pace) if server.token_pace.is_none_or(|known| pace.is_newer(&known)) => {
                self.set_token_pace(key, pace);
                Merge::Taken
            }
            _ => Merge::Outdated,
        }
    }

    /// Key of the replica with the hash `replica`, as in claims and reports.
    pub fn key_of(&self, replica: u64) -> Option<Key> {
        self.index.by_hash(replica)
    }

    fn set_token_pace(&mut self, key: Key, pace: Pace) {
        if let Some(server) = self.servers.get_mut(key) {
            server.token_pace = Some(pace);
            self.with_pace.insert(key);
        }
    }

    /// Seconds that `key` takes for a token at its stage; `None` if that is not known.
    pub fn token_pace(&self, now: Time, key: Key) -> Option<f64> {
        self.servers.get(key)?.token_pace(now)
    }

    /// Median of the known paces of the replicas of `stage` of `service`.
    pub fn median_token_pace(&self, now: Time, service: &str, stage: Option<Stage>) -> Option<f64> {
        let keys = self.index.group(service, stage);
        let mut paces: Vec<f64> = keys.filter_map(|key| self.token_pace(now, key)).collect();
        let middle = paces.len().checked_sub(1)? / 2;
        let (_, median, _) = paces.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    /// Report of the pace of `key`; `None` if it is not known.
    pub(crate) fn pace_report(&self, now: Time, key: Key) -> Option<PaceReport> {
        let server = self.servers.get(key)?;
        PaceReport::new(now, server.hash, server.replica.stage?, server.token_pace?)
    }

    /// Number of replicas with a pace, some of which may have expired.
    pub fn pace_count(&self) -> usize {
        self.with_pace.len()
    }

    /// The replica at `position` among those with a pace.
    pub(crate) fn paced_replica(&self, position: usize) -> Option<Key> {
        self.with_pace.get_index(position).copied()
    }

    /// Forgets the replicas whose paces have expired, and those that are gone.
    pub fn remove_expired_paces(&mut self, now: Time) {
        let servers = &self.servers;
        let pace = |key: &Key| servers.get(*key)?.token_pace(now);
        self.with_pace.retain(|key| pace(key).is_some());
    }

    /// Whether the paces of the replicas of one stage of a service differ by more than
    /// [`MAX_ALIKE`].
    pub(crate) fn has_uneven_paces(&self, now: Time) -> bool {
        let mut ranges: HashMap<(&str, Option<Stage>), (f64, f64)> = HashMap::new();
        let servers = self.with_pace.iter();
        for server in servers.filter_map(|key| self.servers.get(*key)) {
            let Some(pace) = server.token_pace(now) else {
                continue;
            };
            let group = (server.replica.service.as_str(), server.replica.stage);
            let range = ranges.entry(group).or_insert((pace, pace));
            *range = (range.0.min(pace), range.1.max(pace));
        }
        ranges
            .values()
            .any(|(least, most)| *most > least * MAX_ALIKE)
    }
}

impl Server {
    /// Seconds that it takes for a token at its stage; `None` if that is not known.
    pub fn token_pace(&self, now: Time) -> Option<f64> {
        self.token_pace?.current(now)
    }
}
