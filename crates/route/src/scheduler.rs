//! The queue of a pool of replicas and the decisions about it.

mod admit;
mod adopt;
mod claim;
mod expire;
mod grant;
mod progress;
mod rank;

pub use adopt::Hold;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use ident::Handle;
use ident::Replica;
use ident::Row;
use ident::Time;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::ended_requests::EndedRequests;
use crate::hash::Map;
use crate::link::Links;
use crate::policy::Policy;
use crate::policy::View;
use crate::pool::Pool;
use crate::prefix_index::PrefixIndex;
use crate::replica::Member;
use crate::replica::Report;
use crate::request::Request;
use crate::row::RowState;
use crate::rule::Rule;
use crate::server::ReplicaKey;
use crate::settings::Settings;
use crate::token_time::TokenTimeModel;
use crate::turnover::Turnover;
use crate::verdict::Verdict;

/// Schedules the requests of one pool of replicas; only the pool's keeper runs it.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    policy: Policy,
    random: Pcg64Mcg,
    pool: Pool,
    prefix_index: PrefixIndex,
    links: Links,
    turnover: Turnover,
    token_time: TokenTimeModel,
    row_states: BTreeMap<Row, RowState>,
    requests: Map<Handle, Request>,
    ended: EndedRequests,
    rejected: VecDeque<Handle>,
    outbox: Vec<Verdict>,
    grace_end: Time,
    waiting: usize,
    displaced: u32,
    sequence: u64,
}

impl Scheduler {
    /// A scheduler without replicas, with the default policy.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self::with_policy(settings, seed, crate::policy::deadline::policy())
    }

    /// A scheduler without replicas, with `policy`.
    pub fn with_policy(settings: Settings, seed: u64, policy: Policy) -> Self {
        Self {
            settings,
            policy,
            random: Pcg64Mcg::seed_from_u64(seed),
            pool: Pool::default(),
            prefix_index: PrefixIndex::default(),
            links: Links::new(settings.transfer_per_token.as_secs_f64()),
            turnover: Turnover::new(),
            token_time: TokenTimeModel::default(),
            row_states: BTreeMap::new(),
            requests: Map::default(),
            ended: EndedRequests::default(),
            rejected: VecDeque::new(),
            outbox: Vec::new(),
            grace_end: Time::ZERO,
            waiting: 0,
            displaced: 0,
            sequence: 0,
        }
    }

    /// Replaces the rules of all rows; waiting requests of a removed row are refused.
    pub fn set_rules(&mut self, now: Time, rules: &[Rule]) {
        for rule in rules {
            match self.row_states.get_mut(&rule.row) {
                Some(row_state) => row_state.rule = *rule,
                None => drop(self.row_states.insert(rule.row, RowState::new(now, *rule))),
            }
        }
        let current: HashSet<Row> = rules.iter().map(|rule| rule.row).collect();
        let dropped: Vec<Row> = self
            .row_states
            .keys()
            .copied()
            .filter(|row| !current.contains(row))
            .collect();
        for row in dropped {
            self.remove_row(now, row);
        }
    }

    /// Replaces the list of replicas: a leaving one gets no new work, a missing one is lost.
    pub fn set_members(&mut self, now: Time, members: &[Member]) {
        let listed: HashSet<Replica> = members.iter().map(|member| member.replica).collect();
        let missing: Vec<Replica> = self
            .pool
            .iter()
            .filter(|(_, server)| server.listed)
            .map(|(_, server)| server.member.replica)
            .filter(|replica| !listed.contains(replica))
            .collect();
        for replica in missing {
            self.mark_lost(now, replica);
            self.unlist(replica);
        }
        for member in members {
            self.pool.insert(*member, self.settings.prefill_rate);
        }
    }

    /// Applies a load report; a changed boot number means that the replica lost its memory.
    pub fn apply_report(&mut self, now: Time, replica: Replica, report: &Report) {
        let Some(key) = self.pool.key(replica) else {
            return;
        };
        let boot = self.pool.get(key).boot;
        if boot != 0 && boot != report.boot {
            self.mark_lost(now, replica);
        }
        self.pool.update(key, |server| server.boot = report.boot);
        self.pool.update(key, |server| server.report(report));
        for event in &report.events {
            self.prefix_index
                .apply(key, event.seq, event.block, event.stored);
        }
    }

    /// Number of requests in the queue.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of requests that have been placed and have not ended.
    pub fn in_progress(&self) -> usize {
        self.requests.len() - self.waiting
    }

    /// Slots that requests of this pool claim on `replica`.
    pub fn claimed_slots(&self, replica: Replica) -> u32 {
        self.pool
            .key(replica)
            .map_or(0, |key| self.pool.get(key).claims)
    }

    /// Requests of `row` that are in prefill, and those that hold a decode slot.
    pub fn row_usage(&self, row: Row) -> (u32, u32) {
        self.row_states
            .get(&row)
            .map_or((0, 0), |row_state| (row_state.prefills, row_state.decodes))
    }

    /// Handles that `owner` submitted and that have not ended, sorted.
    pub fn handles_of(&self, owner: ident::Incarnation) -> Vec<Handle> {
        let mut handles: Vec<Handle> = self
            .requests
            .keys()
            .copied()
            .filter(|handle| handle.owner == owner)
            .collect();
        handles.sort_unstable();
        handles
    }

    fn unlist(&mut self, replica: Replica) {
        if let Some(key) = self.pool.key(replica) {
            self.pool.update(key, |server| server.listed = false);
        }
    }

    fn view<'a>(
        &'a mut self,
        now: Time,
        deferred_prefills: &'a mut BTreeMap<ReplicaKey, Duration>,
        reserved_decode: Option<ReplicaKey>,
    ) -> View<'a> {
        self.sequence += 1;
        View {
            now,
            pool: &self.pool,
            prefix_index: &self.prefix_index,
            links: &self.links,
            turnover: &self.turnover,
            settings: &self.settings,
            displaced: self.displaced,
            deferred_prefills,
            reserved_decode,
            sequence: self.sequence,
            random: &mut self.random,
        }
    }

    /// Expected time until a new request of `row` can be accepted; above zero.
    fn retry_after(&self, now: Time, row: Row) -> Duration {
        let settings = &self.settings;
        let Some(row_state) = self.row_states.get(&row) else {
            return settings.max_retry_after;
        };
        let rate = row_state.grants.rate(now);
        let queued = row_state.queue.len() as f64 + 1.0;
        let seconds = if rate > 0.0 { queued / rate } else { f64::MAX };
        let most = settings.max_retry_after.as_secs_f64();
        Duration::from_secs_f64(seconds.min(most)).max(settings.min_retry_after)
    }
}
