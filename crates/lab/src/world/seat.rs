//! The places where cells run and the messages that they take.

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
use crate::world::Event;
use crate::world::Fault;
use crate::world::OWNERS;
use crate::world::World;
use crate::world::ZONES;

/// Time between two polls of a replica.
const POLL: Duration = Duration::from_millis(250);
/// Time between two polls without lag.
const FRESH_POLL: Duration = Duration::from_millis(10);
/// Every how many polls a replica publishes new load figures.
const PUBLISH: u64 = 2;
/// One in so many cache events is lost.
const EVENT_LOSS: u64 = 50;

/// A cell and where it runs.
#[derive(Debug)]
pub(super) struct Seat {
    pub(super) cell: Scheduler,
    pub(super) zone: usize,
    pub(super) alive: bool,
    wake: Time,
}

impl World {
    pub(super) fn open_seats(&mut self) {
        let count = if self.setup.rival.mode == Mode::Each {
            OWNERS
        } else {
            1
        };
        for index in 0..count {
            for plain in [false, true] {
                let seat = self.new_seat(index % ZONES, plain);
                self.seats.push(seat);
            }
        }
    }

    pub(super) fn new_seat(&self, zone: usize, plain: bool) -> Seat {
        let seed = self.setup.seed * 100 + self.seats.len() as u64;
        let mut settings = Settings::new();
        if self.setup.rival.mode == Mode::Each {
            settings.min_retries /= OWNERS as f64;
        }
        let mut cell = Scheduler::with_policy(settings, seed, self.setup.rival.policy);
        cell.set_rules(self.now, &self.setup.workload.rules());
        cell.set_members(self.now, &self.members(plain));
        Seat {
            cell,
            zone,
            alive: true,
            wake: Time::NEVER,
        }
    }

    /// The cell that decides about an attempt.
    fn seat_of(&self, attempt: Attempt) -> usize {
        let base = match self.setup.rival.mode {
            Mode::Each => self.tries[attempt].owner * 2,
            Mode::Keeper | Mode::Oracle => 0,
        };
        base + usize::from(self.is_plain(attempt))
    }

    /// One-way delay between an attempt's owner and its cell.
    pub(super) fn way(&self, attempt: Attempt) -> Duration {
        let zone = self.seats[self.seat_of(attempt)].zone;
        match self.setup.rival.mode {
            Mode::Keeper => self.network.delay(self.tries[attempt].owner % ZONES, zone),
            Mode::Each | Mode::Oracle => Duration::ZERO,
        }
    }

    pub(super) fn send_submit(&mut self, attempt: Attempt) {
        self.after(self.way(attempt), Event::Submit(attempt));
    }

    pub(super) fn send_phase(&mut self, attempt: Attempt, phase: Phase) {
        self.tries[attempt].phase = Some(phase);
        self.after(self.way(attempt), Event::Advance(attempt, phase));
    }

    pub(super) fn submit(&mut self, attempt: Attempt) {
        let seat = self.seat_of(attempt);
        if !self.seats[seat].alive {
            return;
        }
        let mut ticket = self.ticket(attempt);
        ticket.waited = ticket.waited.saturating_sub(self.way(attempt));
        self.seats[seat].cell.submit(self.now, ticket);
        self.step(seat);
    }

    pub(super) fn advance(&mut self, attempt: Attempt, phase: Phase) {
        let seat = self.seat_of(attempt);
        if !self.seats[seat].alive {
            return;
        }
        let handle = self.handle_of(attempt);
        self.seats[seat].cell.advance(self.now, handle, phase);
        self.step(seat);
    }

    pub(super) fn wake(&mut self, seat: usize) {
        if self.now < self.seats[seat].wake || !self.seats[seat].alive {
            return;
        }
        self.seats[seat].wake = Time::NEVER;
        self.step(seat);
    }

    fn step(&mut self, seat: usize) {
        let mut out = Vec::new();
        let next = self.seats[seat].cell.step(self.now, &mut out);
        for verdict in out {
            let attempt = verdict.handle.sequence as Attempt;
            self.after(self.way(attempt), Event::Verdict(attempt, verdict));
        }
        if next < self.seats[seat].wake {
            self.seats[seat].wake = next;
            self.at(
                next.max(self.now + Duration::from_micros(1)),
                Event::Wake(seat),
            );
        }
    }

    pub(super) fn poll(&mut self, engine: usize) {
        let fresh = self.setup.rival.mode == Mode::Oracle;
        let pause = if fresh { FRESH_POLL } else { POLL };
        self.after(pause, Event::Poll(engine));
        if !self.engines[engine].up {
            return;
        }
        let due = fresh || (self.now.as_millis() / POLL.as_millis() as u64).is_multiple_of(PUBLISH);
        if due && !self.is_frozen() {
            self.publish(engine);
        }
        let report = self.snapshot(engine, fresh);
        let plain = usize::from(self.engines[engine].role == Role::Plain);
        for seat in (plain..self.seats.len()).step_by(2) {
            let zones = (self.engines[engine].zone, self.seats[seat].zone);
            let delay = if fresh {
                Duration::ZERO
            } else {
                self.network.delay(zones.0, zones.1)
            };
            self.after(delay, Event::Report(seat, engine, report.clone()));
        }
    }

    fn publish(&mut self, engine: usize) {
        let queue = self.engines[engine].queue.clone();
        let tokens = queue
            .iter()
            .map(|attempt| self.requests[self.tries[*attempt].request].prompt);
        let tokens = tokens.map(u64::from).sum();
        let this = &mut self.engines[engine];
        let running = this.held.len() + usize::from(this.running.is_some());
        this.published = (running as u32, queue.len() as u32, tokens);
    }

    fn snapshot(&mut self, engine: usize, fresh: bool) -> Report {
        let loss = match self.setup.fault {
            _ if fresh => u64::MAX,
            Fault::EventsLost => 2,
            _ => EVENT_LOSS,
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
            age: POLL,
            boot: this.boot,
            running: this.published.0,
            waiting: this.published.1,
            queued_tokens: this.published.2,
            works: this.works(),
            events,
        }
    }

    pub(super) fn report(&mut self, seat: usize, engine: usize, report: &Report) {
        if !self.seats[seat].alive {
            return;
        }
        self.seats[seat]
            .cell
            .apply_report(self.now, self.names[engine], report);
        self.step(seat);
    }

    /// Tells every cell that a replica does not answer.
    pub(super) fn report_lost(&mut self, engine: usize) {
        for seat in 0..self.seats.len() {
            self.seats[seat]
                .cell
                .mark_lost(self.now, self.names[engine]);
        }
    }

    /// A new keeper takes over; owners send it what they have in progress.
    pub(super) fn resync(&mut self) {
        for plain in [false, true] {
            let mut seat = self.new_seat(1, plain);
            seat.cell.begin_takeover(self.now);
            self.seats[usize::from(plain)] = seat;
        }
        for attempt in 0..self.tries.len() {
            if self.tries[attempt].over {
                continue;
            }
            match self.hold(attempt) {
                Some(hold) => {
                    let seat = self.seat_of(attempt);
                    self.seats[seat].cell.adopt(self.now, &hold);
                }
                None if self.tries[attempt].placed => self.failed(attempt, None),
                None => self.submit(attempt),
            }
        }
    }

    /// All owners have told the new keeper what they have in progress.
    pub(super) fn settle_keeper(&mut self) {
        for seat in 0..self.seats.len() {
            self.seats[seat].cell.end_grace(self.now);
            self.step(seat);
        }
    }

    fn hold(&self, attempt: Attempt) -> Option<Hold> {
        let this = &self.tries[attempt];
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
