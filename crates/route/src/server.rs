//! The scheduler's state of one replica.

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

/// Index of a replica in its pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey(pub u32);

/// One prefill queued on a replica.
#[derive(Debug, Clone, Copy)]
struct PrefillJob {
    handle: Handle,
    prefill_time: Duration,
}

/// A replica with its slots, load and queued prefills.
#[derive(Debug)]
pub struct Server {
    /// Its entry in the list of members.
    pub member: Member,
    /// Whether it responded last time.
    pub reachable: bool,
    /// Whether it is still listed.
    pub listed: bool,
    /// Requests of this pool that hold a slot or wait for one.
    pub claims: u32,
    /// Requests of others, or leaked ones, in the last report.
    pub foreign: u32,
    /// Running and waiting requests in the last report.
    pub reported_load: u32,
    /// Prompt tokens waiting in the last report.
    pub reported_tokens: u64,
    /// Requests sent since the last report.
    pub sent_since_report: u32,
    /// Requests of this pool whose KV cache is being transferred to it.
    pub incoming: u32,
    /// Boot number of the replica's present run.
    pub boot: u64,
    /// Learned prefill rate, in tokens per second.
    pub rate: Ewma,
    /// Learned duration of a plain call, in seconds.
    pub call_time: Ewma,
    /// Expected end of the transfers of its prefills.
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
    /// The state of a newly listed replica.
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

    /// Slots that can be used without a larger batch missing a target.
    pub fn usable_slots(&self) -> u32 {
        let strictest = self.batch_limits.keys().next().copied();
        strictest.map_or(self.member.slots, |max_batch| {
            max_batch.min(self.member.slots)
        })
    }

    /// Whether the target of a request on it forbids the full batch.
    pub fn is_batch_limited(&self) -> bool {
        self.usable_slots() < self.member.slots
    }

    /// Usable slots that are neither claimed nor taken by others; negative if claims exceed them.
    pub fn free_slots(&self) -> i64 {
        i64::from(self.usable_slots()) - i64::from(self.load())
    }

    /// Free slots for a request that allows a batch of at most `max_batch`.
    pub fn free_slots_within(&self, max_batch: u32) -> i64 {
        i64::from(self.usable_slots().min(max_batch)) - i64::from(self.load())
    }

    /// Slots in a batch of at most `max_batch` in which no request decodes or is being imported,
    /// whether or not they are claimed.
    pub fn unoccupied_slots(&self, max_batch: u32) -> i64 {
        i64::from(self.usable_slots().min(max_batch))
            - i64::from(self.batch + self.incoming + self.foreign)
    }

    /// Claims a slot for a request that allows a batch of at most `max_batch`.
    pub fn claim(&mut self, max_batch: u32) {
        self.claims += 1;
        self.peak = self.peak.max(self.claims);
        self.sent_since_report += 1;
        *self.batch_limits.entry(max_batch).or_default() += 1;
    }

    /// Releases a claimed slot.
    pub fn release_claim(&mut self, max_batch: u32) {
        self.claims = self.claims.saturating_sub(1);
        match self.batch_limits.get_mut(&max_batch) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(self.batch_limits.remove(&max_batch)),
        }
    }

    /// Records that the batch changes by `change` at `now`.
    pub fn change_batch(&mut self, now: Time, change: i64) {
        self.batch_integral += f64::from(self.batch) * now.since(self.batch_changed).as_secs_f64();
        self.batch_changed = now;
        self.batch = (i64::from(self.batch) + change).max(0) as u32;
    }

    /// Integral of the batch size over time up to `now`, in request seconds.
    pub fn batch_integral(&self, now: Time) -> f64 {
        self.batch_integral + f64::from(self.batch) * now.since(self.batch_changed).as_secs_f64()
    }

    /// Requests on the replica, of this pool and of others.
    pub const fn load(&self) -> u32 {
        self.claims + self.foreign
    }

    /// Expected end of its queued prefills.
    pub const fn ready(&self) -> Time {
        self.ready
    }

    /// Queues a prefill.
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

    /// Removes a prefill, ended or not; returns how long it ran if it was the running one.
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

    /// Applies a load report.
    ///
    /// Reported load beyond the most that this pool claimed while the report was under way is
    /// foreign.
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

    /// Clears all load, as the replica's memory is gone.
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

    /// Updates derived values.
    pub fn refresh(&mut self) {
        let total: Duration = self.jobs.iter().map(|job| job.prefill_time).sum();
        self.ready = self.started + total;
    }
}
