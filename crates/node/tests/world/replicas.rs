//! Orders on their way to replicas and answers on their way back.

use std::time::Duration;

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use node::action::Task;
use node::event::Event;
use node::event::Failure;
use node::event::Piece;
use node::event::Reply;
use rand::RngExt;

use super::World;
use super::engine::Ticket;
use super::item::Arriving;
use super::item::Item;
use super::net::Way;

/// Time after which an unreachable replica is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Percentage of orders, and of runs of tokens, that are late.
const LATE_PERCENT: u32 = 4;

/// An order that has not ended.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    engine: usize,
    /// Time that each answer takes, in microseconds.
    delay: u64,
    /// Whether its daemon dropped the connection.
    aborted: bool,
    /// Whether its last answer is on the way.
    closing: bool,
}

impl World {
    pub(super) fn order(
        &mut self,
        ticket: Ticket,
        replica: Replica,
        handle: Handle,
        owner: Incarnation,
        fence: u64,
        task: Task,
    ) {
        let Some(engine) = self.engine_of(replica) else {
            return self.violate(format!("an order for an unknown replica {replica}"));
        };
        let delay = self.rng.random_range(300..2_500);
        let sent = Sent {
            engine,
            delay,
            aborted: false,
            closing: false,
        };
        self.sent.insert(ticket, sent);
        let origin = self.origin_of(&task);
        let needs_body = matches!(task, Task::Prefill { .. } | Task::Plain { .. });
        if needs_body && origin.is_none() {
            return self.fail(ticket, Failure::NotSent);
        }
        if self.net.is_cut(self.now, Way::Replica(ticket.host, engine)) {
            return self.fail_late(ticket, Failure::NotSent);
        }
        let late = self.rng.random_ratio(LATE_PERCENT, 100);
        let micros = if late {
            self.rng.random_range(10_000..500_000)
        } else {
            delay
        };
        let arriving = Arriving {
            ticket,
            engine,
            handle,
            owner,
            fence,
            task,
            origin,
        };
        self.after_micros(micros, Item::Order(Box::new(arriving)));
    }

    pub(super) fn abort(&mut self, ticket: Ticket) {
        let Some(sent) = self.sent.get_mut(&ticket) else {
            return;
        };
        sent.aborted = true;
        self.fail(ticket, Failure::Lost);
    }

    /// Whether answers to `ticket` still have a reader.
    pub(super) fn is_read(&self, ticket: Ticket) -> bool {
        let sent = self.sent.get(&ticket);
        sent.is_some_and(|sent| !sent.aborted && !sent.closing)
    }

    /// An answer sets out for its daemon; a cut way breaks the connection instead.
    pub(super) fn reply(&mut self, ticket: Ticket, event: Event, last: bool) {
        if !self.is_read(ticket) {
            return;
        }
        let engine = self.sent[&ticket].engine;
        let cut = self.net.is_cut(self.now, Way::Replica(ticket.host, engine));
        if cut || self.now < self.engines[engine].loses {
            return self.fail_late(ticket, Failure::Lost);
        }
        let delay = self.sent[&ticket].delay;
        let is_late = is_tokens(&event) && self.rng.random_ratio(LATE_PERCENT, 100);
        let late = if is_late {
            self.rng.random_range(0..50_000)
        } else {
            0
        };
        self.close(ticket, last);
        self.after_micros(
            delay + late,
            Item::Reply {
                ticket,
                event,
                last,
            },
        );
    }

    pub(super) fn reply_last(&mut self, ticket: Ticket, reply: Reply) {
        let order = ticket.order;
        self.reply(ticket, Event::Answered { order, reply }, true);
    }

    /// The order of `ticket` fails as soon as its daemon can notice.
    pub(super) fn fail(&mut self, ticket: Ticket, failure: Failure) {
        self.fail_after(ticket, failure, Duration::from_micros(600));
    }

    fn fail_late(&mut self, ticket: Ticket, failure: Failure) {
        self.fail_after(ticket, failure, CONNECT_TIMEOUT);
    }

    fn fail_after(&mut self, ticket: Ticket, failure: Failure, span: Duration) {
        let Some(sent) = self.sent.get(&ticket).filter(|sent| !sent.closing) else {
            return;
        };
        let span = span + Duration::from_micros(sent.delay);
        self.close(ticket, true);
        let order = ticket.order;
        let event = Event::Failed { order, failure };
        self.after(
            span,
            Item::Reply {
                ticket,
                event,
                last: true,
            },
        );
    }

    fn close(&mut self, ticket: Ticket, last: bool) {
        if let Some(sent) = self.sent.get_mut(&ticket).filter(|_| last) {
            sent.closing = true;
        }
    }

    pub(super) fn reply_arrives(&mut self, ticket: Ticket, event: Event, last: bool) {
        let known = self.sent.contains_key(&ticket);
        if last {
            self.sent.remove(&ticket);
        }
        if known {
            self.note(|| format!("entry-{} hears {event:?}", ticket.host));
            self.event(ticket.host, ticket.run, event);
        }
    }

    /// The process of `host` is gone, and nobody reads the answers to its orders.
    pub(super) fn forget_orders(&mut self, host: usize) {
        self.sent.retain(|ticket, _| ticket.host != host);
    }

    pub(super) fn order_arrives(&mut self, arriving: Box<Arriving>) {
        let Arriving { ticket, engine, .. } = *arriving;
        let aborted = self.sent.get(&ticket).is_none_or(|sent| sent.aborted);
        if aborted && self.rng.random_bool(0.5) {
            return;
        }
        if self.net.is_cut(self.now, Way::Replica(ticket.host, engine)) {
            let failure = if self.rng.random_bool(0.5) {
                Failure::NotSent
            } else {
                Failure::Lost
            };
            return self.fail_late(ticket, failure);
        }
        let stalled = self.engines[engine].stalled;
        if self.now < stalled {
            let rest = stalled.since(self.now);
            return self.after(rest, Item::Order(arriving));
        }
        self.take_order(&arriving);
    }

    pub(super) fn inspect(&mut self, host: usize, run: u32, replica: Replica, asked: Time) {
        let Some(engine) = self.engine_of(replica) else {
            return;
        };
        let cut = self.net.is_cut(self.now, Way::Replica(host, engine));
        let silent = cut || self.now < self.engines[engine].stalled;
        let state = (!silent).then(|| self.engines[engine].inspect());
        let delay = if silent {
            CONNECT_TIMEOUT
        } else {
            Duration::from_micros(self.rng.random_range(300..3_000))
        };
        let event = Event::Inspected {
            replica,
            asked,
            state,
        };
        self.after(delay, Item::Event { host, run, event });
    }
}

const fn is_tokens(event: &Event) -> bool {
    matches!(
        event,
        Event::Streamed {
            piece: Piece::Tokens { .. },
            ..
        }
    )
}
