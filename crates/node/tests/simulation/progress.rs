//! Progress of works at engines: prefill, import and decode.

use std::time::Duration;

use ident::Handle;
use node::event::Event;
use node::event::Piece;
use node::event::Reply;
use rand::RngExt;

use super::Simulation;
use super::engine::Phase;
use super::engine::RESULT_RETENTION;
use super::engine::STREAM_RETENTION;
use super::engine::Ticket;
use super::responses::expected_text;
use super::sim_event::SimEvent;

impl Simulation {
    pub(super) fn advance_work(&mut self, engine: usize, boot: u64, handle: Handle) {
        let now = self.now;
        let stalled = self.engines[engine].stalled_until;
        if now < stalled && self.engines[engine].boot == boot {
            let rest = stalled.since(now);
            let event = SimEvent::WorkStep {
                engine,
                boot,
                handle,
            };
            return self.schedule(rest, event);
        }
        let entry = &mut self.engines[engine];
        let Some(work) = entry.works.get_mut(&handle).filter(|_| entry.boot == boot) else {
            return;
        };
        let pause = match work.phase {
            Phase::Prefill => {
                work.phase = Phase::Kept;
                if let Some(reader) = work.reader.take() {
                    self.send_last_reply(reader, prefilled(boot));
                }
                RESULT_RETENTION
            }
            Phase::Kept | Phase::Done => {
                self.engines[engine].works.remove(&handle);
                return;
            }
            Phase::Import => {
                work.phase = Phase::Decode;
                if let Some(reader) = work.reader {
                    self.send_piece(reader, &Piece::Imported);
                }
                self.deliver(engine, handle);
                self.token_delay()
            }
            Phase::Decode => {
                self.generate_tokens(engine, handle);
                self.deliver(engine, handle);
                let finished = self.engines[engine].works[&handle].phase == Phase::Done;
                if finished {
                    STREAM_RETENTION
                } else {
                    self.token_delay()
                }
            }
        };
        self.schedule(
            pause,
            SimEvent::WorkStep {
                engine,
                boot,
                handle,
            },
        );
    }

    pub(super) fn token_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(5..90))
    }

    pub(super) fn generate_tokens(&mut self, engine: usize, handle: Handle) {
        let count = self.rng.random_range(1..=3);
        if let Some(work) = self.engines[engine].works.get_mut(&handle) {
            work.produced = (work.produced + count).min(work.length);
            if work.produced == work.length {
                work.phase = Phase::Done;
            }
        }
    }

    /// Sends the reader all tokens that it has not received, and the end of a finished stream.
    pub(super) fn deliver(&mut self, engine: usize, handle: Handle) {
        let Some(work) = self.engines[engine].works.get_mut(&handle) else {
            return;
        };
        let Some(reader) = work.reader else {
            return;
        };
        let (offset, end, caller) = (work.next, work.produced, work.caller);
        work.next = end.max(offset);
        let finished = work.phase == Phase::Done;
        if offset < end {
            let count = end - offset;
            let text = expected_text(caller, offset, count);
            let tokens = Piece::Tokens {
                offset,
                count,
                text,
            };
            self.send_piece(reader, &tokens);
        }
        if finished {
            self.send_piece(reader, &Piece::End { offset: end });
            self.send_last_reply(reader, Reply::StreamEnded);
            if let Some(work) = self.engines[engine].works.get_mut(&handle) {
                work.reader = None;
            }
        }
    }

    /// Sends a piece, sometimes twice; tokens may arrive out of order.
    pub(super) fn send_piece(&mut self, ticket: Ticket, piece: &Piece) {
        let order = ticket.order;
        let is_doubled = self.rng.random_ratio(1, 50);
        let copies = if is_doubled { 2 } else { 1 };
        for _ in 0..copies {
            let piece = piece.clone();
            self.send_reply(ticket, Event::Streamed { order, piece }, false);
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
