//! One replica and what a cell knows about it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use ident::Handle;
use ident::Time;

use crate::rate::Ewma;
use crate::replica::Member;
use crate::replica::Report;

/// Weight of one sample in a replica's learned rates.
const RATE_WEIGHT: f64 = 0.1;

/// Names a replica inside its cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

/// One prefill given to a replica.
#[derive(Debug, Clone, Copy)]
struct Job {
    handle: Handle,
    span: Duration,
}

/// One replica and all that the cell knows about it.
#[derive(Debug)]
pub struct Server {
    /// What the list of members says.
    pub member: Member,
    /// Whether it answered last time.
    pub reachable: bool,
    /// Whether it is still listed.
    pub listed: bool,
    /// Requests of this cell that hold a slot or wait for one.
    pub claims: u32,
    /// Requests of others, or leaked ones, that the last report shows.
    pub foreign: u32,
    /// Load by the last report.
    pub reported: u32,
    /// Prompt tokens waiting by the last report.
    pub reported_tokens: u64,
    /// Requests sent since the last report.
    pub sent: u32,
    /// Requests of this cell whose KV cache is on its way to it.
    pub arrivals: u32,
    /// Start of the replica's present run.
    pub boot: u64,
    /// Learned prefill tokens a second.
    pub rate: Ewma,
    /// Learned seconds that a plain call takes.
    pub service: Ewma,
    /// When the transfers of its prefills are expected to have ended.
    pub sent_until: Time,
    peak: u32,
    former_peak: u32,
    limits: BTreeMap<u32, u32>,
    batch: u32,
    area: f64,
    area_at: Time,
    jobs: VecDeque<Job>,
    started: Time,
    ready: Time,
}

impl Server {
    /// A replica that has just been listed.
    pub fn new(member: Member, rate: f64) -> Self {
        Self {
            member,
            reachable: true,
            listed: true,
            claims: 0,
            foreign: 0,
            reported: 0,
            reported_tokens: 0,
            sent: 0,
            arrivals: 0,
            boot: 0,
            rate: Ewma::new(rate, RATE_WEIGHT),
            service: Ewma::new(0.02, RATE_WEIGHT),
            sent_until: Time::ZERO,
            peak: 0,
            former_peak: 0,
            limits: BTreeMap::new(),
            batch: 0,
            area: 0.0,
            area_at: Time::ZERO,
            jobs: VecDeque::new(),
            started: Time::ZERO,
            ready: Time::ZERO,
        }
    }

    /// Whether it may get new work.
    pub const fn is_open(&self) -> bool {
        self.reachable && self.listed && !self.member.leaving
    }

    /// Slots that may be used: the batch may grow no further without missing a target.
    pub fn cap(&self) -> u32 {
        let strictest = self.limits.keys().next().copied();
        strictest.map_or(self.member.slots, |limit| limit.min(self.member.slots))
    }

    /// Whether a request on it has a target that forbids the full batch.
    pub fn is_strict(&self) -> bool {
        self.cap() < self.member.slots
    }

    /// Usable slots that are neither claimed nor taken by others; negative if more are claimed.
    pub fn free(&self) -> i64 {
        i64::from(self.cap()) - i64::from(self.load())
    }

    /// The same for a request that allows a batch of at most `limit`.
    pub fn room(&self, limit: u32) -> i64 {
        i64::from(self.cap().min(limit)) - i64::from(self.load())
    }

    /// Slots that no request decodes or imports in, whoever has claimed them, in a batch of at most
    /// `limit`.
    pub fn vacant(&self, limit: u32) -> i64 {
        i64::from(self.cap().min(limit)) - i64::from(self.batch + self.arrivals + self.foreign)
    }

    /// Claims a slot for a request that allows a batch of at most `limit`.
    pub fn claim(&mut self, limit: u32) {
        self.claims += 1;
        self.peak = self.peak.max(self.claims);
        self.sent += 1;
        *self.limits.entry(limit).or_default() += 1;
    }

    /// Gives a slot back.
    pub fn unclaim(&mut self, limit: u32) {
        self.claims = self.claims.saturating_sub(1);
        match self.limits.get_mut(&limit) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(self.limits.remove(&limit)),
        }
    }

    /// Notes that the batch grows or shrinks at `now`.
    pub fn batch(&mut self, now: Time, change: i64) {
        self.area += f64::from(self.batch) * now.since(self.area_at).as_secs_f64();
        self.area_at = now;
        self.batch = (i64::from(self.batch) + change).max(0) as u32;
    }

    /// Sum of the batch over time, in request seconds, up to `now`.
    pub fn area(&self, now: Time) -> f64 {
        self.area + f64::from(self.batch) * now.since(self.area_at).as_secs_f64()
    }

    /// Requests on the replica, of this cell and of others.
    pub const fn load(&self) -> u32 {
        self.claims + self.foreign
    }

    /// When the prefills given to it are expected to have ended.
    pub const fn ready(&self) -> Time {
        self.ready
    }

    /// Takes a prefill into its queue.
    pub fn push_job(&mut self, now: Time, handle: Handle, span: Duration) {
        if self.jobs.is_empty() {
            self.started = now;
        }
        self.jobs.push_back(Job { handle, span });
        self.sent += 1;
    }

    /// Drops a prefill, ended or not; answers how long it ran, if it was the running one.
    pub fn pull_job(&mut self, now: Time, handle: Handle) -> Option<Duration> {
        let at = self.jobs.iter().position(|job| job.handle == handle)?;
        self.jobs.remove(at);
        if at > 0 {
            return None;
        }
        let ran = now.since(self.started);
        self.started = now;
        Some(ran)
    }

    /// Takes in a load report.
    ///
    /// What exceeds the most that this cell has claimed while the report was on its way is foreign.
    pub fn report(&mut self, report: &Report) {
        let own = self.peak.max(self.former_peak).max(self.jobs.len() as u32);
        self.former_peak = self.peak;
        self.peak = self.claims;
        self.reachable = true;
        self.foreign = report.works.saturating_sub(own);
        self.reported = report.running + report.waiting;
        self.reported_tokens = report.queued_tokens;
        self.sent = 0;
    }

    /// Clears all load: its memory is gone.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.limits.clear();
        self.claims = 0;
        self.peak = 0;
        self.former_peak = 0;
        self.batch = 0;
        self.arrivals = 0;
        self.foreign = 0;
        self.reported = 0;
        self.sent = 0;
    }

    /// Brings derived figures up to date.
    pub fn refresh(&mut self) {
        let total: Duration = self.jobs.iter().map(|job| job.span).sum();
        self.ready = self.started + total;
    }
}
