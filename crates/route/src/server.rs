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
pub struct ReplicaKey(pub u32);

/// One prefill given to a replica.
#[derive(Debug, Clone, Copy)]
struct PrefillJob {
    handle: Handle,
    prefill_time: Duration,
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
    pub reported_load: u32,
    /// Prompt tokens waiting by the last report.
    pub reported_tokens: u64,
    /// Requests sent since the last report.
    pub sent_since_report: u32,
    /// Requests of this cell whose KV cache is on its way to it.
    pub incoming: u32,
    /// Start of the replica's present run.
    pub boot: u64,
    /// Learned prefill tokens a second.
    pub rate: Ewma,
    /// Learned seconds that a plain call takes.
    pub call_time: Ewma,
    /// When the transfers of its prefills are expected to have ended.
    pub transfers_end: Time,
    peak: u32,
    previous_peak: u32,
    batch_limits: BTreeMap<u32, u32>,
    batch: u32,
    batch_integral: f64,
    batch_changed: Time,
    jobs: VecDeque<PrefillJob>,
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
            reported_load: 0,
            reported_tokens: 0,
            sent_since_report: 0,
            incoming: 0,
            boot: 0,
            rate: Ewma::new(rate, RATE_WEIGHT),
            call_time: Ewma::new(0.02, RATE_WEIGHT),
            transfers_end: Time::ZERO,
            peak: 0,
            previous_peak: 0,
            batch_limits: BTreeMap::new(),
            batch: 0,
            batch_integral: 0.0,
            batch_changed: Time::ZERO,
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
    pub fn usable_slots(&self) -> u32 {
        let strictest = self.batch_limits.keys().next().copied();
        strictest.map_or(self.member.slots, |max_batch| {
            max_batch.min(self.member.slots)
        })
    }

    /// Whether a request on it has a target that forbids the full batch.
    pub fn is_batch_limited(&self) -> bool {
        self.usable_slots() < self.member.slots
    }

    /// Usable slots that are neither claimed nor taken by others; negative if more are claimed.
    pub fn free_slots(&self) -> i64 {
        i64::from(self.usable_slots()) - i64::from(self.load())
    }

    /// The same for a request that allows a batch of at most `limit`.
    pub fn free_slots_within(&self, max_batch: u32) -> i64 {
        i64::from(self.usable_slots().min(max_batch)) - i64::from(self.load())
    }

    /// Slots that no request decodes or imports in, whoever has claimed them, in a batch of at most
    /// `limit`.
    pub fn unoccupied_slots(&self, max_batch: u32) -> i64 {
        i64::from(self.usable_slots().min(max_batch))
            - i64::from(self.batch + self.incoming + self.foreign)
    }

    /// Claims a slot for a request that allows a batch of at most `limit`.
    pub fn claim(&mut self, max_batch: u32) {
        self.claims += 1;
        self.peak = self.peak.max(self.claims);
        self.sent_since_report += 1;
        *self.batch_limits.entry(max_batch).or_default() += 1;
    }

    /// Gives a slot back.
    pub fn release_claim(&mut self, max_batch: u32) {
        self.claims = self.claims.saturating_sub(1);
        match self.batch_limits.get_mut(&max_batch) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(self.batch_limits.remove(&max_batch)),
        }
    }

    /// Notes that the batch grows or shrinks at `now`.
    pub fn change_batch(&mut self, now: Time, change: i64) {
        self.batch_integral += f64::from(self.batch) * now.since(self.batch_changed).as_secs_f64();
        self.batch_changed = now;
        self.batch = (i64::from(self.batch) + change).max(0) as u32;
    }

    /// Sum of the batch over time, in request seconds, up to `now`.
    pub fn batch_integral(&self, now: Time) -> f64 {
        self.batch_integral + f64::from(self.batch) * now.since(self.batch_changed).as_secs_f64()
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
    pub fn push_prefill(&mut self, now: Time, handle: Handle, prefill_time: Duration) {
        if self.jobs.is_empty() {
            self.started = now;
        }
        self.jobs.push_back(PrefillJob {
            handle,
            prefill_time,
        });
        self.sent_since_report += 1;
    }

    /// Drops a prefill, ended or not; answers how long it ran, if it was the running one.
    pub fn remove_prefill(&mut self, now: Time, handle: Handle) -> Option<Duration> {
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
        let own = self
            .peak
            .max(self.previous_peak)
            .max(self.jobs.len() as u32);
        self.previous_peak = self.peak;
        self.peak = self.claims;
        self.reachable = true;
        self.foreign = report.works.saturating_sub(own);
        self.reported_load = report.running + report.waiting;
        self.reported_tokens = report.queued_tokens;
        self.sent_since_report = 0;
    }

    /// Clears all load: its memory is gone.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.batch_limits.clear();
        self.claims = 0;
        self.peak = 0;
        self.previous_peak = 0;
        self.batch = 0;
        self.incoming = 0;
        self.foreign = 0;
        self.reported_load = 0;
        self.sent_since_report = 0;
    }

    /// Brings derived figures up to date.
    pub fn refresh(&mut self) {
        let total: Duration = self.jobs.iter().map(|job| job.prefill_time).sum();
        self.ready = self.started + total;
    }
}
