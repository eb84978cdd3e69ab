//! The queue of a group of replicas and the decisions about it.

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

use crate::cache::Cache;
use crate::flow::Flow;
use crate::hash::Map;
use crate::link::Links;
use crate::memo::Memo;
use crate::policy::Policy;
use crate::policy::View;
use crate::pool::Pool;
use crate::replica::Member;
use crate::replica::Report;
use crate::row::Lane;
use crate::rule::Rule;
use crate::server::Key;
use crate::settings::Settings;
use crate::token::Fit;
use crate::turnover::Turnover;
use crate::verdict::Verdict;

/// A group of replicas with one queue; only its keeper drives it.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    policy: Policy,
    random: Pcg64Mcg,
    pool: Pool,
    cache: Cache,
    links: Links,
    turnover: Turnover,
    fit: Fit,
    lanes: BTreeMap<Row, Lane>,
    flows: Map<Handle, Flow>,
    memo: Memo,
    rejected: VecDeque<Handle>,
    outbox: Vec<Verdict>,
    grace_end: Time,
    waiting: usize,
    stranded: u32,
    turn: u64,
}

impl Scheduler {
    /// An empty cell with the project's own policy.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self::with_policy(settings, seed, crate::policy::deadline::policy())
    }

    /// An empty cell with `policy`.
    pub fn with_policy(settings: Settings, seed: u64, policy: Policy) -> Self {
        Self {
            settings,
            policy,
            random: Pcg64Mcg::seed_from_u64(seed),
            pool: Pool::default(),
            cache: Cache::default(),
            links: Links::new(settings.transfer_per_token.as_secs_f64()),
            turnover: Turnover::new(),
            fit: Fit::default(),
            lanes: BTreeMap::new(),
            flows: Map::default(),
            memo: Memo::default(),
            rejected: VecDeque::new(),
            outbox: Vec::new(),
            grace_end: Time::ZERO,
            waiting: 0,
            stranded: 0,
            turn: 0,
        }
    }

    /// Puts the rules of all rows in force; waiting requests of a row that is gone are refused.
    pub fn set_rules(&mut self, now: Time, rules: &[Rule]) {
        for rule in rules {
            match self.lanes.get_mut(&rule.row) {
                Some(lane) => lane.rule = *rule,
                None => drop(self.lanes.insert(rule.row, Lane::new(now, *rule))),
            }
        }
        let kept: HashSet<Row> = rules.iter().map(|rule| rule.row).collect();
        let dropped: Vec<Row> = self
            .lanes
            .keys()
            .copied()
            .filter(|row| !kept.contains(row))
            .collect();
        for row in dropped {
            self.drop_lane(now, row);
        }
    }

    /// Takes over the list of replicas: a leaving one gets no new work, a missing one is lost.
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
            self.close(replica);
        }
        for member in members {
            self.pool.insert(*member, self.settings.prefill_rate);
        }
    }

    /// Takes in a load report.
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
            self.cache.apply(key, event.seq, event.block, event.stored);
        }
    }

    /// Requests in the queue.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Requests that have been placed and have not ended.
    pub fn in_progress(&self) -> usize {
        self.flows.len() - self.waiting
    }

    /// Slots that requests of this cell claim on `replica`.
    pub fn claimed_slots(&self, replica: Replica) -> u32 {
        self.pool
            .key(replica)
            .map_or(0, |key| self.pool.get(key).claims)
    }

    /// Requests of `row` in prefill and holding a decode slot.
    pub fn row_usage(&self, row: Row) -> (u32, u32) {
        self.lanes
            .get(&row)
            .map_or((0, 0), |lane| (lane.prefills, lane.decodes))
    }

    /// Handles that `owner` submitted and that have not ended.
    pub fn handles_of(&self, owner: ident::Incarnation) -> Vec<Handle> {
        let mut handles: Vec<Handle> = self
            .flows
            .keys()
            .copied()
            .filter(|handle| handle.owner == owner)
            .collect();
        handles.sort_unstable();
        handles
    }

    fn close(&mut self, replica: Replica) {
        if let Some(key) = self.pool.key(replica) {
            self.pool.update(key, |server| server.listed = false);
        }
    }

    fn view<'a>(
        &'a mut self,
        now: Time,
        promised: &'a mut BTreeMap<Key, Duration>,
        kept: Option<Key>,
    ) -> View<'a> {
        self.turn += 1;
        View {
            now,
            pool: &self.pool,
            cache: &self.cache,
            links: &self.links,
            turnover: &self.turnover,
            settings: &self.settings,
            stranded: self.stranded,
            promised,
            kept,
            turn: self.turn,
            random: &mut self.random,
        }
    }

    /// Time until a new request of `row` may expect to be taken; above zero.
    fn retry_after(&self, now: Time, row: Row) -> Duration {
        let settings = &self.settings;
        let Some(lane) = self.lanes.get(&row) else {
            return settings.max_retry_after;
        };
        let rate = lane.grants.rate(now);
        let queued = lane.queue.len() as f64 + 1.0;
        let seconds = if rate > 0.0 { queued / rate } else { f64::MAX };
        let most = settings.max_retry_after.as_secs_f64();
        Duration::from_secs_f64(seconds.min(most)).max(settings.min_retry_after)
    }
}
