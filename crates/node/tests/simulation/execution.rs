//! Execution of orders at replicas.

use bytes::Bytes;
use node::action::Task;
use node::event::Failure;
use node::event::Piece;
use node::event::Reply;
use rand::RngExt;

use super::Simulation;
use super::engine::Phase;
use super::engine::Ticket;
use super::engine::Work;
use super::engine::refused;
use super::sim_event::ArrivingOrder;
use super::sim_event::SimEvent;

const HTTP_NOT_FOUND: u16 = 404;
const HTTP_CONFLICT: u16 = 409;
const HTTP_GONE: u16 = 410;
const HTTP_TOO_MANY: u16 = 429;
const HTTP_UNAVAILABLE: u16 = 503;
const HTTP_OK: u16 = 200;
/// Maximum number of prefills at one engine, running and queued.
const MAX_PREFILLS: usize = 4;

impl Simulation {
    pub(super) fn handle_order(&mut self, arriving: &ArrivingOrder) {
        let now = self.now;
        let ticket = arriving.ticket;
        let engine = &mut self.engines[arriving.engine];
        let admitted = match arriving.task {
            Task::Plain { .. } => Ok(()),
            Task::Cancel => engine.admit(arriving.handle, arriving.fence),
            _ => engine.admit_work(now, arriving.handle, arriving.fence),
        };
        let taken = admitted.and_then(|()| self.start_task(arriving));
        if let Err(failure) = taken {
            self.fail_order(ticket, failure);
        }
    }

    fn start_task(&mut self, arriving: &ArrivingOrder) -> Result<(), Failure> {
        let is_new = !matches!(arriving.task, Task::Cancel | Task::Attach { .. });
        if is_new {
            self.check_new_work(arriving);
        }
        if is_new && self.now < self.engines[arriving.engine].refuses_until {
            return Err(refused(HTTP_UNAVAILABLE, None));
        }
        match arriving.task {
            Task::Prefill { .. } => self.start_prefill(arriving),
            Task::Decode {
                source,
                max_tokens,
                offset,
                ..
            } => {
                let source = self.engine_of(source);
                self.start_decode(arriving, source, max_tokens, offset)
            }
            Task::Attach { offset } => self.attach(arriving, offset),
            Task::Cancel => {
                self.cancel(arriving);
                Ok(())
            }
            Task::Plain { .. } => {
                self.start_plain(arriving);
                Ok(())
            }
        }
    }

    fn start_prefill(&mut self, arriving: &ArrivingOrder) -> Result<(), Failure> {
        let Some((_, caller)) = arriving.origin else {
            return Err(Failure::NotSent);
        };
        let engine = &mut self.engines[arriving.engine];
        if engine.works.contains_key(&arriving.handle) {
            return Err(refused(HTTP_CONFLICT, None));
        }
        let is_prefilling = |work: &&Work| work.phase == Phase::Prefill;
        if engine.works.values().filter(is_prefilling).count() >= MAX_PREFILLS {
            return Err(refused(HTTP_TOO_MANY, None));
        }
        let done = match arriving.task {
            Task::Prefill { done_tokens, .. } => done_tokens,
            _ => 0,
        };
        let work = Work {
            owner: arriving.owner,
            fence: arriving.fence,
            phase: Phase::Prefill,
            caller,
            reader: Some(arriving.ticket),
            next: done,
            produced: done,
            length: self.callers[caller].length,
        };
        self.insert_work(arriving, work, 5_000..120_000);
        self.count_run(caller);
        Ok(())
    }

    fn insert_work(&mut self, arriving: &ArrivingOrder, work: Work, micros: std::ops::Range<u64>) {
        let engine = arriving.engine;
        let boot = self.engines[engine].boot;
        let handle = arriving.handle;
        self.engines[engine].works.insert(handle, work);
        let micros = self.rng.random_range(micros);
        self.schedule_micros(
            micros,
            SimEvent::WorkStep {
                engine,
                boot,
                handle,
            },
        );
    }

    fn start_decode(
        &mut self,
        arriving: &ArrivingOrder,
        source: Option<usize>,
        max_tokens: u32,
        offset: u32,
    ) -> Result<(), Failure> {
        let engine = &self.engines[arriving.engine];
        if engine.works.contains_key(&arriving.handle) {
            return Err(refused(HTTP_CONFLICT, None));
        }
        if engine.used_slots() >= engine.slots {
            return Err(refused(HTTP_TOO_MANY, None));
        }
        let found = source.and_then(|source| self.engines[source].works.get(&arriving.handle));
        let Some(prefilled) = found.filter(|work| work.phase == Phase::Kept) else {
            return Err(refused(HTTP_GONE, None));
        };
        let work = Work {
            owner: arriving.owner,
            fence: arriving.fence,
            phase: Phase::Import,
            caller: prefilled.caller,
            reader: Some(arriving.ticket),
            next: offset,
            produced: prefilled.produced,
            length: prefilled.length.min(max_tokens),
        };
        self.insert_work(arriving, work, 1_000..40_000);
        Ok(())
    }

    fn attach(&mut self, arriving: &ArrivingOrder, offset: u32) -> Result<(), Failure> {
        let works = &mut self.engines[arriving.engine].works;
        let found = works.get_mut(&arriving.handle);
        let Some(work) = found.filter(|work| !matches!(work.phase, Phase::Prefill | Phase::Kept))
        else {
            return Err(refused(HTTP_NOT_FOUND, None));
        };
        work.owner = arriving.owner;
        work.fence = work.fence.max(arriving.fence);
        work.next = offset;
        let previous = work.reader.replace(arriving.ticket);
        let takeover = (arriving.ticket.daemon, self.now);
        self.takeovers.insert(arriving.handle, takeover);
        if let Some(previous) = previous {
            self.send_piece(previous, &Piece::Superseded);
            self.send_last_reply(previous, Reply::StreamEnded);
        }
        if self.engines[arriving.engine].works[&arriving.handle].phase != Phase::Import {
            self.send_piece(arriving.ticket, &Piece::Imported);
            self.deliver(arriving.engine, arriving.handle);
        }
        Ok(())
    }

    fn cancel(&mut self, arriving: &ArrivingOrder) {
        let now = self.now;
        let reader = self.engines[arriving.engine].cancel(now, arriving.handle);
        if let Some(reader) = reader {
            self.fail_order(reader, refused(HTTP_NOT_FOUND, None));
        }
        self.send_last_reply(arriving.ticket, Reply::Cancelled);
    }

    fn start_plain(&mut self, arriving: &ArrivingOrder) {
        let Some((_, caller)) = arriving.origin else {
            return;
        };
        let (engine, ticket) = (arriving.engine, arriving.ticket);
        self.count_run(caller);
        self.engines[engine].calls += 1;
        let boot = self.engines[engine].boot;
        let slow = self.rng.random_ratio(1, 8);
        let micros = if slow {
            self.rng.random_range(500_000..4_000_000)
        } else {
            self.rng.random_range(1_000..60_000)
        };
        self.schedule_micros(
            micros,
            SimEvent::PlainCallEnd {
                engine,
                boot,
                ticket,
                caller,
            },
        );
    }

    pub(super) fn finish_plain(&mut self, engine: usize, boot: u64, ticket: Ticket, caller: usize) {
        if self.engines[engine].boot != boot {
            return self.fail_order(ticket, Failure::Lost);
        }
        self.engines[engine].calls -= 1;
        let reply = Reply::Plain {
            status: HTTP_OK,
            body: Bytes::from(format!("confirmed for {caller}")),
        };
        self.send_last_reply(ticket, reply);
    }
}
