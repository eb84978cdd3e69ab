//! How works on replicas go on.

use std::time::Duration;

use ident::Handle;
use node::event::Event;
use node::event::Piece;
use node::event::Reply;
use rand::RngExt;

use super::World;
use super::answers::expected;
use super::engine::Phase;
use super::engine::READABLE;
use super::engine::RESULT_LIFE;
use super::engine::Ticket;
use super::item::Item;

impl World {
    pub(super) fn work_goes_on(&mut self, engine: usize, boot: u64, handle: Handle) {
        let now = self.now;
        let stalled = self.engines[engine].stalled;
        if now < stalled && self.engines[engine].boot == boot {
            let rest = stalled.since(now);
            let item = Item::Work {
                engine,
                boot,
                handle,
            };
            return self.after(rest, item);
        }
        let slot = &mut self.engines[engine];
        let Some(work) = slot.works.get_mut(&handle).filter(|_| slot.boot == boot) else {
            return;
        };
        let pause = match work.phase {
            Phase::Prefill => {
                work.phase = Phase::Kept;
                if let Some(reader) = work.reader.take() {
                    self.reply_last(reader, prefilled(boot));
                }
                RESULT_LIFE
            }
            Phase::Kept | Phase::Done => {
                self.engines[engine].works.remove(&handle);
                return;
            }
            Phase::Import => {
                work.phase = Phase::Decode;
                if let Some(reader) = work.reader {
                    self.piece(reader, &Piece::Imported);
                }
                self.deliver(engine, handle);
                self.token_time()
            }
            Phase::Decode => {
                self.make_tokens(engine, handle);
                self.deliver(engine, handle);
                let over = self.engines[engine].works[&handle].phase == Phase::Done;
                if over { READABLE } else { self.token_time() }
            }
        };
        self.after(
            pause,
            Item::Work {
                engine,
                boot,
                handle,
            },
        );
    }

    pub(super) fn token_time(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(5..90))
    }

    pub(super) fn make_tokens(&mut self, engine: usize, handle: Handle) {
        let count = self.rng.random_range(1..=3);
        if let Some(work) = self.engines[engine].works.get_mut(&handle) {
            work.produced = (work.produced + count).min(work.length);
            if work.produced == work.length {
                work.phase = Phase::Done;
            }
        }
    }

    /// Sends the reader of a work all that it has not got, and the end if it is there.
    pub(super) fn deliver(&mut self, engine: usize, handle: Handle) {
        let Some(work) = self.engines[engine].works.get_mut(&handle) else {
            return;
        };
        let Some(reader) = work.reader else {
            return;
        };
        let (offset, end, caller) = (work.next, work.produced, work.caller);
        work.next = end.max(offset);
        let over = work.phase == Phase::Done;
        if offset < end {
            let count = end - offset;
            let text = expected(caller, offset, count);
            let tokens = Piece::Tokens {
                offset,
                count,
                text,
            };
            self.piece(reader, &tokens);
        }
        if over {
            self.piece(reader, &Piece::End { offset: end });
            self.reply_last(reader, Reply::StreamEnded);
            if let Some(work) = self.engines[engine].works.get_mut(&handle) {
                work.reader = None;
            }
        }
    }

    /// Sends a piece, perhaps twice; tokens may overtake each other on the way.
    pub(super) fn piece(&mut self, ticket: Ticket, piece: &Piece) {
        let order = ticket.order;
        let is_doubled = self.rng.random_ratio(1, 50);
        let copies = if is_doubled { 2 } else { 1 };
        for _ in 0..copies {
            let piece = piece.clone();
            self.reply(ticket, Event::Streamed { order, piece }, false);
        }
    }
}

const fn prefilled(boot: u64) -> Reply {
    Reply::Prefilled {
        computed: 100,
        cached: 0,
        boot,
    }
}
