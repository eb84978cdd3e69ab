//! Runs the schedulers and delivers tickets, phases and reports to them.

use std::time::Duration;

use ident::Replica;
use ident::Time;
use route::phase::Phase;
use route::replica::Report;
use route::replica::Role;
use route::scheduler::Hold;
use route::scheduler::Scheduler;
use route::settings::Settings;

use crate::engine::Attempt;
use crate::rival::Mode;
use crate::simulation::DATA_CENTRES;
use crate::simulation::Event;
use crate::simulation::Fault;
use crate::simulation::OWNERS;
use crate::simulation::Simulation;

/// Time between two polls of a replica.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two polls for [`Mode::Oracle`], which needs fresh reports.
const FRESH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A replica updates its published load once in so many polls.
const POLLS_PER_PUBLISH: u64 = 2;
/// One in so many cache events is lost.
const EVENT_LOSS_INTERVAL: u64 = 50;

/// A scheduler, its data centre and its next wake-up.
#[derive(Debug)]
pub(super) struct LocatedScheduler {
    pub(super) inner: Scheduler,
    pub(super) zone: usize,
    pub(super) alive: bool,
    wake: Time,
}

impl Simulation {
    pub(super) fn create_schedulers(&mut self) {
        let count = if self.setup.rival.mode == Mode::Each {
            OWNERS
        } else {
            1
        };
        for index in 0..count {
            for plain in [false, true] {
                let scheduler = self.new_scheduler(index % DATA_CENTRES, plain);
                self.schedulers.push(scheduler);
            }
        }
    }

    pub(super) fn new_scheduler(&self, zone: usize, plain: bool) -> LocatedScheduler {
        let seed = self.setup.seed * 100 + self.schedulers.len() as u64;
        let mut settings = Settings::new();
        if self.setup.rival.mode == Mode::Each {
            settings.min_retries /= OWNERS as f64;
        }
        let mut inner = Scheduler::with_policy(settings, seed, self.setup.rival.policy);
        inner.set_rules(self.now, &self.setup.workload.rules());
        inner.set_members(self.now, &self.members(plain));
        LocatedScheduler {
            inner,
            zone,
            alive: true,
            wake: Time::NEVER,
        }
    }

    /// Index of the scheduler that decides about an attempt.
    fn scheduler_of(&self, attempt: Attempt) -> usize {
        let base = match self.setup.rival.mode {
            Mode::Each => self.attempts[attempt].owner * 2,
            Mode::Keeper | Mode::Oracle => 0,
        };
        base + usize::from(self.is_plain(attempt))
    }

    /// One-way delay between an attempt's owner and its scheduler.
    pub(super) fn scheduler_delay(&self, attempt: Attempt) -> Duration {
        let zone = self.schedulers[self.scheduler_of(attempt)].zone;
        match self.setup.rival.mode {
            Mode::Keeper => self
                .network
                .delay(self.attempts[attempt].owner % DATA_CENTRES, zone),
            Mode::Each | Mode::Oracle => Duration::ZERO,
        }
    }

    pub(super) fn send_submit(&mut self, attempt: Attempt) {
        self.schedule_after(self.scheduler_delay(attempt), Event::Submit(attempt));
    }

    pub(super) fn send_phase(&mut self, attempt: Attempt, phase: Phase) {
        self.attempts[attempt].phase = Some(phase);
        self.schedule_after(
            self.scheduler_delay(attempt),
            Event::Advance(attempt, phase),
        );
    }

    pub(super) fn submit(&mut self, attempt: Attempt) {
        let scheduler = self.scheduler_of(attempt);
        if !self.schedulers[scheduler].alive {
            return;
        }
        let mut ticket = self.ticket(attempt);
        ticket.waited = ticket.waited.saturating_sub(self.scheduler_delay(attempt));
        self.schedulers[scheduler].inner.submit(self.now, ticket);
        self.step(scheduler);
    }

    pub(super) fn advance(&mut self, attempt: Attempt, phase: Phase) {
        let scheduler = self.scheduler_of(attempt);
        if !self.schedulers[scheduler].alive {
            return;
        }
        let handle = self.handle_of(attempt);
        self.schedulers[scheduler]
            .inner
            .advance(self.now, handle, phase);
        self.step(scheduler);
    }

    pub(super) fn wake(&mut self, scheduler: usize) {
        if self.now < self.schedulers[scheduler].wake || !self.schedulers[scheduler].alive {
            return;
        }
        self.schedulers[scheduler].wake = Time::NEVER;
        self.step(scheduler);
    }

    fn step(&mut self, scheduler: usize) {
        let mut out = Vec::new();
        let next = self.schedulers[scheduler].inner.step(self.now, &mut out);
        for verdict in out {
            let attempt = verdict.handle.sequence as Attempt;
            self.schedule_after(
                self.scheduler_delay(attempt),
                Event::Verdict(attempt, verdict),
            );
        }
        if next < self.schedulers[scheduler].wake {
            self.schedulers[scheduler].wake = next;
            self.schedule_at(
                next.max(self.now + Duration::from_micros(1)),
                Event::Wake(scheduler),
            );
        }
    }

    pub(super) fn poll(&mut self, engine: usize) {
        let fresh = self.setup.rival.mode == Mode::Oracle;
        let pause = if fresh {
            FRESH_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        self.schedule_after(pause, Event::Poll(engine));
        if !self.engines[engine].up {
            return;
        }
        let due = fresh
            || (self.now.as_millis() / POLL_INTERVAL.as_millis() as u64)
                .is_multiple_of(POLLS_PER_PUBLISH);
        if due && !self.is_frozen() {
            self.publish(engine);
        }
        let report = self.snapshot(engine, fresh);
        let plain = usize::from(self.engines[engine].role == Role::Plain);
        for scheduler in (plain..self.schedulers.len()).step_by(2) {
            let zones = (self.engines[engine].zone, self.schedulers[scheduler].zone);
            let delay = if fresh {
                Duration::ZERO
            } else {
                self.network.delay(zones.0, zones.1)
            };
            self.schedule_after(delay, Event::Report(scheduler, engine, report.clone()));
        }
    }

    fn publish(&mut self, engine: usize) {
        let queue = self.engines[engine].queue.clone();
        let tokens = queue
            .iter()
            .map(|attempt| self.requests[self.attempts[*attempt].request].prompt);
        let tokens = tokens.map(u64::from).sum();
        let this = &mut self.engines[engine];
        let running = this.held.len() + usize::from(this.running.is_some());
        this.published = (running as u32, queue.len() as u32, tokens);
    }

    fn snapshot(&mut self, engine: usize, fresh: bool) -> Report {
        let loss = match self.setup.fault {
            _ if fresh => u64::MAX,
            Fault::EventsLost => 2,
            _ => EVENT_LOSS_INTERVAL,
        };
        let now = self.now;
        let this = &mut self.engines[engine];
        let mut events = Vec::new();
        while let Some((_, event)) = this.events.pop_front_if(|(time, _)| *time <= now) {
            if event.seq % loss != 1 {
                events.push(event);
            }
        }
        Report {
            age: POLL_INTERVAL,
            boot: this.boot,
            running: this.published.0,
            waiting: this.published.1,
            queued_tokens: this.published.2,
            works: this.works(),
            events,
        }
    }

    pub(super) fn report(&mut self, scheduler: usize, engine: usize, report: &Report) {
        if !self.schedulers[scheduler].alive {
            return;
        }
        self.schedulers[scheduler]
            .inner
            .apply_report(self.now, self.names[engine], report);
        self.step(scheduler);
    }

    /// Reports to every scheduler that a replica does not answer.
    pub(super) fn report_lost(&mut self, engine: usize) {
        for scheduler in 0..self.schedulers.len() {
            self.schedulers[scheduler]
                .inner
                .mark_lost(self.now, self.names[engine]);
        }
    }

    /// Starts a new keeper, to which the owners send their requests in progress.
    pub(super) fn resync(&mut self) {
        for plain in [false, true] {
            let mut scheduler = self.new_scheduler(1, plain);
            scheduler.inner.begin_takeover(self.now);
            self.schedulers[usize::from(plain)] = scheduler;
        }
        for attempt in 0..self.attempts.len() {
            if self.attempts[attempt].ended {
                continue;
            }
            match self.hold_of(attempt) {
                Some(hold) => {
                    let scheduler = self.scheduler_of(attempt);
                    self.schedulers[scheduler].inner.adopt(self.now, &hold);
                }
                None if self.attempts[attempt].placed => self.failed(attempt, None),
                None => self.submit(attempt),
            }
        }
    }

    /// Ends the grace time of the new keeper, once all owners have sent their requests.
    pub(super) fn end_keeper_grace(&mut self) {
        for scheduler in 0..self.schedulers.len() {
            self.schedulers[scheduler].inner.end_grace(self.now);
            self.step(scheduler);
        }
    }

    fn hold_of(&self, attempt: Attempt) -> Option<Hold> {
        let this = &self.attempts[attempt];
        let name = |engine: usize| -> Replica { self.names[engine] };
        let prefill = this.prefill.map(|(engine, _)| name(engine));
        let decode = this.decode.map(name)?;
        Some(Hold {
            ticket: self.ticket(attempt),
            prefill,
            decode,
            phase: this.phase,
        })
    }
}
