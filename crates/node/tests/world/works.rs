//! What replicas do with orders.

use bytes::Bytes;
use node::action::Task;
use node::event::Failure;
use node::event::Piece;
use node::event::Reply;
use rand::RngExt;

use super::World;
use super::engine::Phase;
use super::engine::Ticket;
use super::engine::Work;
use super::engine::refused;
use super::item::Arriving;
use super::item::Item;

const HTTP_NOT_FOUND: u16 = 404;
const HTTP_CONFLICT: u16 = 409;
const HTTP_GONE: u16 = 410;
const HTTP_TOO_MANY: u16 = 429;
const HTTP_UNAVAILABLE: u16 = 503;
const HTTP_OK: u16 = 200;
/// Prefills that an engine queues.
const MAX_PREFILLS: usize = 4;

impl World {
    pub(super) fn take_order(&mut self, arriving: &Arriving) {
        let now = self.now;
        let ticket = arriving.ticket;
        let engine = &mut self.engines[arriving.engine];
        let admitted = match arriving.task {
            Task::Plain { .. } => Ok(()),
            Task::Cancel => engine.admit(arriving.handle, arriving.fence),
            _ => engine.admit_work(now, arriving.handle, arriving.fence),
        };
        let taken = admitted.and_then(|()| self.begin(arriving));
        if let Err(failure) = taken {
            self.fail(ticket, failure);
        }
    }

    fn begin(&mut self, arriving: &Arriving) -> Result<(), Failure> {
        let is_new = !matches!(arriving.task, Task::Cancel | Task::Attach { .. });
        if is_new {
            self.check_new_work(arriving);
        }
        if is_new && self.now < self.engines[arriving.engine].refuses {
            return Err(refused(HTTP_UNAVAILABLE, None));
        }
        match arriving.task {
            Task::Prefill { .. } => self.begin_prefill(arriving),
            Task::Decode {
                source,
                max_tokens,
                offset,
                ..
            } => {
                let source = self.engine_of(source);
                self.begin_decode(arriving, source, max_tokens, offset)
            }
            Task::Attach { offset } => self.attach(arriving, offset),
            Task::Cancel => {
                self.cancel(arriving);
                Ok(())
            }
            Task::Plain { .. } => {
                self.begin_plain(arriving);
                Ok(())
            }
        }
    }

    fn begin_prefill(&mut self, arriving: &Arriving) -> Result<(), Failure> {
        let Some((_, caller)) = arriving.origin else {
            return Err(Failure::NotSent);
        };
        let engine = &mut self.engines[arriving.engine];
        if engine.works.contains_key(&arriving.handle) {
            return Err(refused(HTTP_CONFLICT, None));
        }
        let busy = |work: &&Work| work.phase == Phase::Prefill;
        if engine.works.values().filter(busy).count() >= MAX_PREFILLS {
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
        self.insert(arriving, work, 5_000..120_000);
        self.count_run(caller);
        Ok(())
    }

    fn insert(&mut self, arriving: &Arriving, work: Work, micros: std::ops::Range<u64>) {
        let engine = arriving.engine;
        let boot = self.engines[engine].boot;
        let handle = arriving.handle;
        self.engines[engine].works.insert(handle, work);
        let micros = self.rng.random_range(micros);
        self.after_micros(
            micros,
            Item::Work {
                engine,
                boot,
                handle,
            },
        );
    }

    fn begin_decode(
        &mut self,
        arriving: &Arriving,
        source: Option<usize>,
        max_tokens: u32,
        offset: u32,
    ) -> Result<(), Failure> {
        let engine = &self.engines[arriving.engine];
        if engine.works.contains_key(&arriving.handle) {
            return Err(refused(HTTP_CONFLICT, None));
        }
        if engine.taken() >= engine.slots {
            return Err(refused(HTTP_TOO_MANY, None));
        }
        let found = source.and_then(|source| self.engines[source].works.get(&arriving.handle));
        let Some(kept) = found.filter(|work| work.phase == Phase::Kept) else {
            return Err(refused(HTTP_GONE, None));
        };
        let work = Work {
            owner: arriving.owner,
            fence: arriving.fence,
            phase: Phase::Import,
            caller: kept.caller,
            reader: Some(arriving.ticket),
            next: offset,
            produced: kept.produced,
            length: kept.length.min(max_tokens),
        };
        self.insert(arriving, work, 1_000..40_000);
        Ok(())
    }

    fn attach(&mut self, arriving: &Arriving, offset: u32) -> Result<(), Failure> {
        let works = &mut self.engines[arriving.engine].works;
        let found = works.get_mut(&arriving.handle);
        let Some(work) = found.filter(|work| !matches!(work.phase, Phase::Prefill | Phase::Kept))
        else {
            return Err(refused(HTTP_NOT_FOUND, None));
        };
        work.owner = arriving.owner;
        work.fence = work.fence.max(arriving.fence);
        work.next = offset;
        let former = work.reader.replace(arriving.ticket);
        let taker = (arriving.ticket.host, self.now);
        self.taken.insert(arriving.handle, taker);
        if let Some(former) = former {
            self.piece(former, &Piece::Superseded);
            self.reply_last(former, Reply::StreamEnded);
        }
        if self.engines[arriving.engine].works[&arriving.handle].phase != Phase::Import {
            self.piece(arriving.ticket, &Piece::Imported);
            self.deliver(arriving.engine, arriving.handle);
        }
        Ok(())
    }

    fn cancel(&mut self, arriving: &Arriving) {
        let now = self.now;
        let reader = self.engines[arriving.engine].cancel(now, arriving.handle);
        if let Some(reader) = reader {
            self.fail(reader, refused(HTTP_NOT_FOUND, None));
        }
        self.reply_last(arriving.ticket, Reply::Cancelled);
    }

    fn begin_plain(&mut self, arriving: &Arriving) {
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
        self.after_micros(
            micros,
            Item::Plain {
                engine,
                boot,
                ticket,
                caller,
            },
        );
    }

    pub(super) fn plain_ends(&mut self, engine: usize, boot: u64, ticket: Ticket, caller: usize) {
        if self.engines[engine].boot != boot {
            return self.fail(ticket, Failure::Lost);
        }
        self.engines[engine].calls -= 1;
        let reply = Reply::Plain {
            status: HTTP_OK,
            body: Bytes::from(format!("confirmed for {caller}")),
        };
        self.reply_last(ticket, reply);
    }
}
